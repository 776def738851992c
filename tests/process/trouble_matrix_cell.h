#pragma once

#include "core/random.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace foxtailtally {

/** A trouble beside which requests must still get an answer. */
enum class MatrixTrouble {
    None,
    /** Servers forget idle connections and reset them at the next request. */
    IdleDrop50,
    IdleDrop300,
    IdleDrop2000,
    /** No packets pass to or from any server, and new connections hang. */
    CutOff300,
    CutOff1000,
    CutOff1900,
    /** All servers accept requests and send nothing. */
    Silent300,
    Silent1000,
    Silent1900,
    /** Servers get requests and run them, but what they send arrives only later. */
    LostAnswers300,
    LostAnswers1000,
    LostAnswers1900,
    /** Half of the servers announce that they leave. */
    ServerLeaving,
    /** Half of the servers reject calls with Retry-After. */
    RetryAfter,
    /** All servers name a limit below what callers send. */
    ServerLimit,
    /** Bodies of plain calls end with the connection of the server. */
    OmittedLength,
    /** A server of another service sends bytes without end to calls beside the cells. */
    EndlessBytes,
    /** A call beside the cells crashes engines. */
    CrashingCall,
    StoreSilent,
    StoreSlow,
    StoreRestored,
};

inline constexpr std::array kMatrixTroubles = {
    MatrixTrouble::None,
    MatrixTrouble::IdleDrop50,
    MatrixTrouble::IdleDrop300,
    MatrixTrouble::IdleDrop2000,
    MatrixTrouble::CutOff300,
    MatrixTrouble::CutOff1000,
    MatrixTrouble::CutOff1900,
    MatrixTrouble::Silent300,
    MatrixTrouble::Silent1000,
    MatrixTrouble::Silent1900,
    MatrixTrouble::LostAnswers300,
    MatrixTrouble::LostAnswers1000,
    MatrixTrouble::LostAnswers1900,
    MatrixTrouble::ServerLeaving,
    MatrixTrouble::RetryAfter,
    MatrixTrouble::ServerLimit,
    MatrixTrouble::OmittedLength,
    MatrixTrouble::EndlessBytes,
    MatrixTrouble::CrashingCall,
    MatrixTrouble::StoreSilent,
    MatrixTrouble::StoreSlow,
    MatrixTrouble::StoreRestored,
};

/** A change of the configuration or planned work. */
enum class MatrixChange {
    None,
    HeaderLimitShrinks,
    HeaderLimitGrows,
    BodyLimitShrinks,
    BodyLimitGrows,
    HeaderTimeoutShrinks,
    HeaderTimeoutGrows,
    IdleTimeoutShrinks,
    IdleTimeoutGrows,
    TimeoutShrinks,
    TimeoutGrows,
    AttemptsShrink,
    RoutesDropped,
    RoutesMoved,
    ServicesRemoved,
    KeyRevoked,
    CustomersRemoved,
    WeightsShift,
    RoutesAdded,
    /** A version each 0.2 s. */
    Storm,
    Reload,
    PlannedStop,
    /** A failure domain is evacuated, and this is taken back. */
    EvacuationTakenBack,
    /** Servers drain, and others come. */
    ServersReplaced,
};

inline constexpr std::array kMatrixChanges = {
    MatrixChange::None,
    MatrixChange::HeaderLimitShrinks,
    MatrixChange::HeaderLimitGrows,
    MatrixChange::BodyLimitShrinks,
    MatrixChange::BodyLimitGrows,
    MatrixChange::HeaderTimeoutShrinks,
    MatrixChange::HeaderTimeoutGrows,
    MatrixChange::IdleTimeoutShrinks,
    MatrixChange::IdleTimeoutGrows,
    MatrixChange::TimeoutShrinks,
    MatrixChange::TimeoutGrows,
    MatrixChange::AttemptsShrink,
    MatrixChange::RoutesDropped,
    MatrixChange::RoutesMoved,
    MatrixChange::ServicesRemoved,
    MatrixChange::KeyRevoked,
    MatrixChange::CustomersRemoved,
    MatrixChange::WeightsShift,
    MatrixChange::RoutesAdded,
    MatrixChange::Storm,
    MatrixChange::Reload,
    MatrixChange::PlannedStop,
    MatrixChange::EvacuationTakenBack,
    MatrixChange::ServersReplaced,
};

/** How far a request has come when the change comes. */
enum class MatrixStep {
    HeadHalfSent,
    BodyHalfSent,
    ChunkedBodyHalfSent,
    /** A server works on the request and has sent nothing. */
    AtServer,
    StreamRunning,
    /** The last events of the stream are due. */
    StreamEnding,
    /** The server of the stream has just closed its connection. */
    Resuming,
    /** The first server has just rejected the request. */
    BetweenAttempts,
    /** A second server works on the request beside the first one, which is slow. */
    SecondAttempt,
    /** Engines have not responded to the commands to reserve memory for the prompt. */
    Reserving,
    PipelinedBehindAStream,
    ConnectionIdle,
};

inline constexpr std::array kMatrixSteps = {
    MatrixStep::HeadHalfSent, MatrixStep::BodyHalfSent,           MatrixStep::ChunkedBodyHalfSent,
    MatrixStep::AtServer,     MatrixStep::StreamRunning,          MatrixStep::StreamEnding,
    MatrixStep::Resuming,     MatrixStep::BetweenAttempts,        MatrixStep::SecondAttempt,
    MatrixStep::Reserving,    MatrixStep::PipelinedBehindAStream, MatrixStep::ConnectionIdle,
};

enum class MatrixKind {
    Read,
    /** Runs at most once; on a route without keys. */
    PublicAction,
    /** Runs at most once; on a route with keys. */
    Action,
    ResumableStream,
    /** A stream that runs at most once. */
    PlainStream,
    /** A resumable stream whose prompt does not fit into the memory of one engine. */
    LongPrompt,
};

inline constexpr std::array kMatrixKinds = {
    MatrixKind::Read,        MatrixKind::PublicAction,
    MatrixKind::Action,      MatrixKind::ResumableStream,
    MatrixKind::PlainStream, MatrixKind::LongPrompt,
};

/** One request in one situation. */
struct MatrixCell
{
    MatrixTrouble trouble = MatrixTrouble::None;
    MatrixChange change = MatrixChange::None;
    MatrixStep step = MatrixStep::HeadHalfSent;
    MatrixKind kind = MatrixKind::Read;
    /** The tenth request of its connection instead of the first. */
    bool isTenth = false;
    /** The next request is sent right behind this one. */
    bool hasNext = false;

    bool operator==(const MatrixCell &) const = default;
};

std::string nameOf(MatrixTrouble trouble);
std::string nameOf(MatrixChange change);
std::string nameOf(MatrixStep step);
std::string nameOf(MatrixKind kind);
/** "TROUBLE/CHANGE/STEP/KIND/first|tenth/single|pipelined". */
std::string nameOf(const MatrixCell &cell);

bool isStream(MatrixKind kind);
/** The request may run at most once. */
bool runsOnce(MatrixKind kind);
/** A request of @p kind can be at @p step. */
bool isPossible(MatrixStep step, MatrixKind kind);
/** The request at @p step is admitted after the change. */
bool isAdmittedAfterChange(MatrixStep step);

/** Most requests with a long prompt that are played at once. The engines have memory for so many
 * while half of them are evacuated; more may truly be refused. */
inline constexpr std::size_t kMaxLongPrompts = 2;

/** Cells of one trouble and one change that are played at once: at each step @p perStep requests of
 * different kinds, or as many as there are kinds; the rest by @p random. */
std::vector<MatrixCell> drawCells(MatrixTrouble trouble, MatrixChange change, std::size_t perStep,
                                  Random &random);
/** @p count different changes, of which none is MatrixChange::None. */
std::vector<MatrixChange> drawChanges(std::size_t count, Random &random);

} // namespace foxtailtally
