#ifndef PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_
#define PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_

#include <uv.h>

#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {

// Lives until libuv has closed the handle, which is after the stream's destruction.
struct TcpStream::Handle {
  uv_tcp_t uv{};
  uv_connect_t connect{};
  // Null once the stream was destroyed or has ended.
  StreamHandler* handler = nullptr;
  bool close_with_reset = false;

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&uv); }
  uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&uv); }

  void NotifyEnd(bool clean);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_
