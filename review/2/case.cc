// Clients upload large bodies in chunks; the last chunk, which is empty, is sent by itself, as
// streaming clients do. An instance is stopped by SIGTERM meanwhile. Counts uploads whose
// connection ends without an answer although the instance has read the whole request.
#include "harness.h"

namespace review {
namespace {

constexpr int kClients = 8;
constexpr int kChunks = 10;
constexpr std::size_t kChunkBytes = 20000;
constexpr std::int64_t kChunkIntervalMs = 10;
constexpr int kDeadlineMs = 6000;
constexpr int kObjectiveMs = 1500;
constexpr int kWorkMs = 260;
constexpr std::int64_t kGraceMs = 6000;
// First upload after the SIGTERM, and the pause between two.
constexpr std::int64_t kFirstUploadMs = 300;
constexpr std::int64_t kUploadIntervalMs = 200;

std::string Chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  return size + std::string(bytes, 'f') + "\r\n";
}

int Main(int argc, char** argv) {
  Run run(argc, argv);
  Store store(run.network().Host(1, Run::kStorePort));
  std::vector<std::unique_ptr<Server>> servers;
  const std::vector<std::string> zones{"a", "b", "c"};
  for (int i = 0; i < 6; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "pen-log";
    options.zone = zones[static_cast<std::size_t>(i) % 3];
    options.address = run.network().Host(100 + i, Run::kServerPort);
    options.work_ms = kWorkMs;
    options.notes_heads = true;
    servers.push_back(std::make_unique<Server>(options));
    store.Put(servers.back()->Key(), servers.back()->Entry("ready"));
  }
  store.Put("op/config",
            Configuration(7, {{"/footage/", "pen-log", "upload", kDeadlineMs, kObjectiveMs, 2}}));
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 3; ++i) {
    instances.push_back(run.MakeInstance("front-" + std::to_string(i),
                                         zones[static_cast<std::size_t>(i)], 10 + i,
                                         run.network().Host(1, Run::kStorePort), {10, 11, 12}));
    instances.back()->Start();
  }
  for (const auto& instance : instances) {
    if (!WaitUntilReady(*instance, 10000)) {
      CouldNotRun(instance->name() + " is not ready");
    }
  }
  SleepMs(4000);

  auto& instance = *instances[0];
  const auto start = NowMs();
  if (run.has_trouble()) {
    Note("%s gets SIGTERM", instance.name().c_str());
    instance.Signal(SIGTERM);
  }
  std::mutex mutex;
  std::vector<std::string> unanswered;
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kClients; ++i) {
    callers.emplace_back([&, i] {
      SleepUntilMs(start + kFirstUploadMs + i * kUploadIntervalMs);
      const auto id = "footage-" + std::to_string(i);
      Client client(instance.Front());
      const auto sent_at = NowMs();
      bool is_sent = client.SendBytes(
          "POST /footage/pen HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
          "\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int chunk = 0; chunk < kChunks; ++chunk) {
        is_sent = is_sent && client.SendBytes(Chunk(kChunkBytes));
        SleepMs(kChunkIntervalMs);
      }
      is_sent = is_sent && client.SendBytes("0\r\n\r\n");
      Note("client: %s sent whole %lld ms after the start", id.c_str(),
           static_cast<long long>(NowMs() - start));
      Message message;
      const auto end = client.reader().Read(&message, sent_at + kDeadlineMs + 500, true);
      const auto took = NowMs() - sent_at;
      Note("client: %s answered with status %d (%s) after %lld ms", id.c_str(),
           end == Reader::End::kMessage ? message.Status() : 0, NameOf(end),
           static_cast<long long>(took));
      if (end == Reader::End::kMessage) {
        ++(message.Status() == 200 ? served : failed);
      } else if (is_sent && took < kDeadlineMs) {
        const std::lock_guard<std::mutex> lock(mutex);
        unanswered.push_back(id);
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  if (run.has_trouble()) {
    instance.WaitForExit(kGraceMs);
  }
  int lost = 0;
  for (const auto& id : unanswered) {
    for (const auto& server : servers) {
      if (server->HasHead(id)) {
        ++lost;
        Note("LOST: %s was passed on to server %s, its connection ended without an answer",
             id.c_str(), server->options().id.c_str());
      }
    }
  }
  char text[200];
  std::snprintf(text, sizeof text,
                "%d uploads: %d served, %d answered with a failure, %d passed on and ended without "
                "an answer before their deadline",
                kClients, served.load(), failed.load(), lost);
  return Verdict(lost > 0, text);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv); }
