#ifndef PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_
#define PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_

#include <uv.h>

#include <cstddef>
#include <string>

#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {

// Lives until libuv has closed the handle, which is after the stream's destruction.
struct TcpStream::Handle {
  uv_tcp_t uv{};
  uv_connect_t connect{};
  // Null once the stream was destroyed or has ended.
  StreamHandler* handler = nullptr;
  bool close_with_reset = false;
  // One write is in progress at a time; further bytes wait here together. As a write each, short
  // responses took several times their size.
  bool is_writing = false;
  std::string backlog;
  // Bytes allocated for the write in progress.
  std::size_t writing_bytes = 0;
  // The sending side is closed once the backlog is written.
  bool shuts_down = false;

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&uv); }
  uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&uv); }

  void NotifyEnd(bool clean);
  // Writes `data` from `offset` on, then the backlog.
  void StartWrite(std::string data, std::size_t offset);
  void StartShutdown();
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_SRC_LOOP_STREAM_HANDLE_H_
