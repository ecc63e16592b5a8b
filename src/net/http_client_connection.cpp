#include "net/http_client_connection.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace stonewing {
namespace {

constexpr std::size_t kHeadMost = 16 * 1024;

bool sameWord(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view trimmed(std::string_view text) {
  auto blank = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

bool lists(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    std::size_t comma = std::min(value.find(','), value.size());
    if (sameWord(trimmed(value.substr(0, comma)), word)) return true;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

}  // namespace

std::optional<std::uint64_t> parseWholeNumber(std::string_view digits) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

HttpResponseParser::Progress HttpResponseParser::firstLine(std::string_view bytes) {
  std::string_view line = bytes.substr(begin_);
  std::size_t feed = line.find('\n');
  constexpr std::string_view kStart = "HTTP/1.";
  std::size_t known = std::min(line.size(), kStart.size());
  if (line.substr(0, known) != kStart.substr(0, known) || std::min(feed, line.size()) > kHeadMost) {
    return Progress::malformed;
  }
  if (feed == std::string_view::npos) return Progress::needsMore;
  line = trimmed(line.substr(0, feed));
  // HTTP/1.x, a blank, three digits, and nothing or a blank behind them.
  if (line.size() < 12 || (line[7] != '0' && line[7] != '1') || line[8] != ' ') return Progress::malformed;
  if (line.size() > 12 && line[12] != ' ') return Progress::malformed;
  auto status = parseWholeNumber(line.substr(9, 3));
  if (!status || *status < 100) return Progress::malformed;
  status_ = static_cast<int>(*status);
  keeps_ = line[7] == '1';
  headersAt_ = begin_ + feed + 1;
  return Progress::complete;
}

HttpResponseParser::Progress HttpResponseParser::head(std::string_view bytes) {
  for (std::size_t at = headersAt_;;) {
    std::size_t feed = bytes.find('\n', at);
    if (std::min(feed, bytes.size()) - begin_ > kHeadMost) return Progress::malformed;
    if (feed == std::string_view::npos) return Progress::needsMore;
    std::string_view line = trimmed(bytes.substr(at, feed - at));
    at = feed + 1;
    if (line.empty()) {
      bodyAt_ = at;
      break;
    }
    // A name is of visible characters up to the colon; noise has others.
    std::size_t colon = line.find(':');
    bool named = colon != std::string_view::npos && colon > 0 &&
                 std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon),
                             [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (!named) return Progress::malformed;
  }
  if (status_ < 200) {  // interim: the real answer follows
    if (status_ == 101) return Progress::malformed;
    begin_ = bodyAt_;
    headersAt_ = bodyAt_ = 0;
    status_ = 0;
    return Progress::complete;
  }
  std::string_view connection = header(bytes, "Connection");
  if (lists(connection, "close")) keeps_ = false;
  if (lists(connection, "keep-alive")) keeps_ = true;
  std::string_view coding = header(bytes, "Transfer-Encoding");
  std::string_view length = header(bytes, "Content-Length");
  if (!coding.empty()) {
    if (!sameWord(coding, "chunked")) return Progress::malformed;
    chunked_ = true;
    chunkAt_ = bodyAt_;
  } else if (!length.empty()) {
    auto n = parseWholeNumber(length);
    if (!n || *n > (std::uint64_t{1} << 40)) return Progress::malformed;
    bodyLength_ = *n;
  } else if (status_ != 204 && status_ != 304) {
    untilEnd_ = true;
    keeps_ = false;
  }
  return Progress::complete;
}

HttpResponseParser::Progress HttpResponseParser::chunks(std::string_view bytes) {
  for (;;) {
    std::size_t feed = bytes.find('\n', chunkAt_);
    if (feed == std::string_view::npos)
      return bytes.size() - chunkAt_ > kHeadMost ? Progress::malformed : Progress::needsMore;
    std::string_view line = trimmed(bytes.substr(chunkAt_, feed - chunkAt_));
    line = trimmed(line.substr(0, line.find(';')));
    std::uint64_t size = 0;
    auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
    if (line.empty() || error != std::errc() || end != line.data() + line.size() || size > (1u << 30)) {
      return Progress::malformed;
    }
    if (size == 0) {  // trailers up to a blank line
      for (std::size_t at = feed + 1;;) {
        std::size_t next = bytes.find('\n', at);
        if (next == std::string_view::npos)
          return bytes.size() - at > kHeadMost ? Progress::malformed : Progress::needsMore;
        bool blank = trimmed(bytes.substr(at, next - at)).empty();
        at = next + 1;
        if (blank) {
          end_ = at;
          return Progress::complete;
        }
      }
    }
    if (bytes.size() < feed + 1 + size + 2) return Progress::needsMore;
    if (bytes.substr(feed + 1 + size, 2) != "\r\n") return Progress::malformed;
    decoded_.append(bytes.substr(feed + 1, size));
    chunkAt_ = feed + 1 + size + 2;
  }
}

HttpResponseParser::Progress HttpResponseParser::parse(std::string_view bytes, bool ended) {
  Progress now = Progress::complete;
  while (bodyAt_ == 0) {
    if (headersAt_ == 0) now = firstLine(bytes);
    if (now == Progress::complete) now = head(bytes);
    if (now != Progress::complete) return ended ? Progress::malformed : now;
  }
  if (chunked_) {
    now = chunks(bytes);
  } else if (untilEnd_) {
    now = ended ? Progress::complete : Progress::needsMore;
    bodyLength_ = bytes.size() - bodyAt_;
    end_ = bytes.size();
  } else {
    now = bytes.size() - bodyAt_ >= bodyLength_ ? Progress::complete : Progress::needsMore;
    end_ = bodyAt_ + bodyLength_;
  }
  return now == Progress::needsMore && ended ? Progress::malformed : now;
}

std::string_view HttpResponseParser::header(std::string_view bytes, std::string_view name) const {
  if (bodyAt_ == 0) return {};
  for (std::size_t at = headersAt_; at < bodyAt_;) {
    std::size_t feed = bytes.find('\n', at);
    std::string_view line = bytes.substr(at, feed - at);
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos && sameWord(trimmed(line.substr(0, colon)), name)) {
      return trimmed(line.substr(colon + 1));
    }
    at = feed + 1;
  }
  return {};
}

std::string_view HttpResponseParser::body(std::string_view bytes) const {
  return chunked_ ? std::string_view(decoded_) : bytes.substr(bodyAt_, bodyLength_);
}

bool HttpClientConnection::open(const sockaddr_in& to) {
  auto made = [] { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); };
  fd_ = made();
  // Danger: idle clients hold all descriptors, and nothing is delivered nor heard any more.
  if (fd_ < 0 && (errno == EMFILE || errno == ENFILE) && loop_.freeDescriptor()) fd_ = made();
  lacking_ = fd_ < 0;
  if (lacking_) return false;
  int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 || errno == EINPROGRESS) {
    lacking_ = !loop_.watch(fd_, *this);
    if (!lacking_) return true;
  }
  ::close(fd_);
  fd_ = -1;
  return false;
}

void HttpClientConnection::startExchange() {
  busy_ = true;
  in_.clear();
  answer_ = {};
  if (fd_ >= 0 && up_ && out_.write(fd_) != WriteBuffer::WriteResult::all) loop_.reschedule(fd_);
}

void HttpClientConnection::close() {
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(fd_);
  fd_ = -1;
}

bool HttpClientConnection::isReusable() const {
  char byte;
  return fd_ >= 0 && ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::fail() {
  close();
  observer_.onBroken(*this);
}

void HttpClientConnection::onEvents(std::uint32_t events) {
  bool halfWritten = up_ && busy_ && !out_.empty();
  if (!up_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & EPOLLERR) != 0) return fail();
    if ((events & EPOLLOUT) == 0) return;
    up_ = true;
    if (!observer_.mayStartExchange(*this)) return;
  }
  if (halfWritten && !observer_.mayContinueExchange(*this)) return;
  if (!out_.empty()) write();
  if (fd_ >= 0) read((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
}

void HttpClientConnection::write() {
  // A server may answer, or end, before it has read all: what it said is read before the link is failed.
  if (out_.write(fd_) == WriteBuffer::WriteResult::broken) {
    read(true);
    if (fd_ >= 0 && busy_) fail();
  }
}

void HttpClientConnection::read(bool mayHaveEnded) {
  ReadResult got = readAvailable(fd_, in_, most_, mayHaveEnded);
  if (!busy_) {  // an idle connection that ends or talks is of no use
    if (got != ReadResult::wouldBlock || !in_.empty()) fail();
    return;
  }
  bool ended = got == ReadResult::endOfStream || got == ReadResult::broken;
  if (in_.empty() && !ended) return;
  auto step = answer_.parse(in_, got == ReadResult::endOfStream);
  // An answer may claim gigabytes and keep coming: what it claims is not waited for.
  bool tooLong = answer_.announcedLength() > most_ || (got == ReadResult::more && in_.size() >= most_);
  if (step == HttpResponseParser::Progress::needsMore && tooLong)
    step = HttpResponseParser::Progress::malformed;
  if (step == HttpResponseParser::Progress::needsMore && !ended) {
    if (got == ReadResult::more) loop_.reschedule(fd_);
    observer_.onResponseStarted(*this);
    return;
  }
  if (step != HttpResponseParser::Progress::complete) return fail();
  // Open for another exchange only where nothing is left over and our own bytes are all out.
  if (ended || !answer_.keepsAlive() || in_.size() > answer_.length() || !out_.empty() ||
      got == ReadResult::more) {
    close();
  }
  busy_ = false;
  observer_.onResponse(*this);
}

}  // namespace stonewing
