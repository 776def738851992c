#include "peers/http/body_end.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace foxtailtally {

BodyEnd bodyEndAtClose(int socket, std::size_t unwrittenBytes)
{
    // A reset behind the end of the peer's data is reported here only: reading ends with that end.
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return BodyEnd::Broken;
    int unacknowledgedBytes = 0;
    if (::ioctl(socket, SIOCOUTQ, &unacknowledgedBytes) != 0)
        return BodyEnd::Broken;
    return unwrittenBytes > 0 || unacknowledgedBytes > 0 ? BodyEnd::Undecided : BodyEnd::Complete;
}

} // namespace foxtailtally
