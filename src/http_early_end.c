#include "http_early_end.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

bool
http_early_end (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;
  int unacked = 0;
  if (ioctl (fd, SIOCOUTQ, &unacked) == 0 && unacked > 0)
    return true;
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
         && info.tcpi_state == TCP_CLOSE;
}
