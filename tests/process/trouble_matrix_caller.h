#pragma once

#include "tests/process/trouble_matrix_judgement.h"

#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** A caller's connection on which requests are sent in parts and responses are read one by one. */
class MatrixCaller
{
public:
    /** Connects to @p address ("ip:port"). */
    explicit MatrixCaller(const std::string &address);
    ~MatrixCaller();
    MatrixCaller(const MatrixCaller &) = delete;
    MatrixCaller &operator=(const MatrixCaller &) = delete;

    void send(const std::string &text);
    /** Reads the next response until @p end. */
    MatrixAnswer read(absl::Time end);

private:
    /** Reads more bytes; false once the connection has ended or the time is over. */
    bool receive(absl::Time end);
    bool readHead(absl::Time end);
    /** Reads a body in chunks; false if it is incomplete. */
    bool readChunks(std::string &body, absl::Time end);
    bool readBytes(std::size_t count, std::string &bytes, absl::Time end);
    bool readLine(std::string &line, absl::Time end);

    int socket = -1;
    bool isOver = false;
    std::string received;
    std::string head;
};

} // namespace foxtailtally
