#include "peers/http/response_head_checker.h"

#include "peers/http/http_head.h"

#include <gtest/gtest.h>
#include <string>

namespace foxtailtally {
namespace {

/** Checks @p text in parts of @p partSize bytes; returns the size of the head, or nullopt. */
std::optional<std::size_t> checkInParts(std::string_view text, std::size_t partSize)
{
    ResponseHeadChecker checker;
    std::size_t size = 0;
    for (std::size_t at = 0; at < text.size() && !checker.isComplete(); at += partSize) {
        const std::optional<std::size_t> checked = checker.check(text.substr(at, partSize));
        if (!checked)
            return std::nullopt;
        size += *checked;
    }
    return size;
}

// Guards against a verdict that depends on how the bytes of a head arrive, or that covers bytes of
// the body.
TEST(ResponseHeadChecker, FindsTheEndOfAHeadWhateverItsParts)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 200 OK\nA: 1\n\n", "HTTP/1.1 599\r\n\r\n",
          "HTTP/1.0 100 \r\n\r\n", "\r\n\nHTTP/1.1 200 OK\r\nA:\r\nB: \r\n\r\n"}) {
        for (std::size_t part = 1; part <= head.size(); ++part)
            EXPECT_EQ(checkInParts(head + "HTTP/1.1 000\r\n", part), head.size()) << head;
    }
}

TEST(ResponseHeadChecker, RefusesAnInvalidStatusWhateverItsParts)
{
    for (const std::string line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 ",
          "HTTP/1.1 999 Failed", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1 200OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1 ",
          "HTTP/1.1 200\tOK"}) {
        const std::string text = line + "\r\n\r\n";
        for (std::size_t part = 1; part <= text.size(); ++part)
            EXPECT_EQ(checkInParts(text, part), std::nullopt) << line;
    }
}

TEST(ResponseHeadChecker, RefusesAnInvalidHeaderLineWhateverItsParts)
{
    for (const std::string line :
         {"X Name: 1", "X-Name : 1", "X-Name\t: 1", " X-Name: 1", "\tX-Name: 1", "X\x01Name: 1",
          "X\x7fName: 1", "X\rName: 1", "X\nName: 1", "X\"Name\": 1", "X\xc3\xa9: 1", "X-Name",
          ": 1", "X-Name: 1\rY : 2", "X-Name: 1\r\r\n"}) {
        for (const std::string before : {"", "A: 1\r\n", "A:\n"}) {
            const std::string text = "HTTP/1.1 200 OK\r\n" + before + line + "\r\n\r\n";
            for (std::size_t part = 1; part <= text.size(); ++part)
                EXPECT_EQ(checkInParts(text, part), std::nullopt) << before << line;
        }
    }
    EXPECT_EQ(checkInParts("HTTP/1.1 200 OK\rX : 1\r\n\r\n", 1), std::nullopt);
}

// Guards against two rules for the same name: of a whole one, and of one that arrives in parts.
TEST(ResponseHeadChecker, TakesTheNamesThatRequestsMayHave)
{
    for (int byte = 0; byte < 256; ++byte) {
        const char character = static_cast<char>(byte);
        if (character == ':')
            continue;
        const std::string name = std::string("X") + character + "Y";
        const bool isAccepted =
            checkInParts("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n\r\n", 1) != std::nullopt;
        EXPECT_EQ(isAccepted, isHeaderName(name)) << byte;
    }
    EXPECT_FALSE(isHeaderName(""));
    EXPECT_TRUE(isHeaderName("!#$%&'*+-.^_`|~09azAZ"));
}

} // namespace
} // namespace foxtailtally
