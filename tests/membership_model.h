#pragma once

#include "servers/membership/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {

/**
 * Runs many instances of the membership code on a simulated network in virtual time. Used by the
 * tests and by the benchmark.
 */
class MembershipModel
{
public:
    struct Node
    {
        MemberUpdate self;
        std::unique_ptr<Membership> membership;
        absl::Time pausedUntil;
        GossipDocumentNumbers documents;
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
        std::size_t largest = 0;
    };

    MembershipModel(std::size_t domains, std::size_t perDomain, std::uint64_t seed)
        : random(seed)
        , nodes(domains * perDomain)
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            // Domains alternate over the names, so that ranks within domains differ.
            const std::string name = std::to_string(1000 + i);
            this->nodes[i].self.instance = InstanceId("entry-" + name);
            this->nodes[i].self.domain = FailureDomainId("domain-" + std::to_string(i % domains));
            this->nodes[i].self.address = "10.20.30." + std::to_string(i % 256) + ":17000";
            this->indexes[this->nodes[i].self.instance] = i;
            this->known.push_back({this->nodes[i].self.instance, this->nodes[i].self.domain,
                                   this->nodes[i].self.address});
        }
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            this->boot(i);
            this->at(this->time + absl::Milliseconds(this->random.below(1000)),
                     [this, i] { this->tick(i); });
        }
    }

    void boot(std::size_t index)
    {
        Node &node = this->nodes[index];
        ++node.self.incarnation;
        node.documents = {};
        node.membership = std::make_unique<Membership>(node.self, this->random.next());
        node.membership->addKnown(this->known, this->time);
    }

    void advance(absl::Duration length)
    {
        const absl::Time until = this->time + length;
        while (!this->steps.empty() && this->steps.begin()->first <= until) {
            auto next = this->steps.extract(this->steps.begin());
            this->time = next.key();
            next.mapped()();
        }
        this->time = until;
    }

    void setDocument(std::size_t index, GossipDocument kind, std::uint64_t number)
    {
        Node &node = this->nodes[index];
        if (number <= node.documents[kind])
            return;
        node.documents[kind] = number;
        this->perform(index, node.membership->setDocument(kind, number, this->time));
    }

    /** Nodes that cannot exchange messages with nodes outside this set. */
    std::set<std::size_t> isolated;
    double loss = 0;
    /** Maximum delay of one message in ten; others take up to 2 ms. */
    absl::Duration slowDelay = absl::Milliseconds(2);
    Random random;
    absl::Time time = absl::FromUnixSeconds(1000000);
    std::vector<Node> nodes;
    std::uint64_t staleRejected = 0;
    std::vector<std::pair<std::size_t, MembershipMessage>> recorded;

    void perform(std::size_t index, const MembershipActions &actions)
    {
        for (const MembershipAction &action : actions) {
            if (const auto *send = std::get_if<SendMembership>(&action))
                this->send(index, *send);
            else if (const auto *document = std::get_if<DocumentAdvanced>(&action))
                // The body is pulled from the sender over TCP.
                this->at(this->time + absl::Milliseconds(2), [this, index, d = *document] {
                    this->setDocument(index, d.kind, d.number);
                });
        }
    }

    void deliver(std::size_t target, const MembershipMessage &message)
    {
        Node &node = this->nodes[target];
        if (this->time < node.pausedUntil) {
            this->at(node.pausedUntil, [this, target, message] { this->deliver(target, message); });
            return;
        }
        const auto result = node.membership->onDatagram(message, this->time);
        if (result.ok())
            this->perform(target, *result);
        else
            this->staleRejected += result.error() == Error::MessageStaleIncarnation ? 1 : 0;
    }

private:
    void at(absl::Time when, std::function<void()> step)
    {
        this->steps.emplace(when, std::move(step));
    }

    void tick(std::size_t index)
    {
        Node &node = this->nodes[index];
        if (this->time >= node.pausedUntil)
            this->perform(index, node.membership->onTick(this->time));
        this->at(this->time + absl::Milliseconds(100), [this, index] { this->tick(index); });
    }

    void send(std::size_t from, const SendMembership &send)
    {
        const std::size_t to = this->indexes.at(send.to);
        const std::size_t size = packedSize(send.message);
        this->nodes[from].bytesSent += size;
        this->nodes[from].largest = std::max(this->nodes[from].largest, size);
        if (this->isolated.contains(from) != this->isolated.contains(to)
            || this->random.uniform() < this->loss)
            return;
        this->nodes[to].bytesReceived += size;
        const bool isSlow = this->random.below(10) == 0;
        const absl::Duration delay =
            (isSlow ? this->slowDelay : absl::Milliseconds(2)) * this->random.uniform();
        this->at(this->time + delay,
                 [this, to, message = send.message] { this->deliver(to, message); });
    }

    std::multimap<absl::Time, std::function<void()>> steps;
    std::map<InstanceId, std::size_t> indexes;
    std::vector<KnownInstance> known;
};

} // namespace foxtailtally
