#include "net/http.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace stonewing::net {
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

std::optional<std::uint64_t> wholeNumber(std::string_view digits) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

AnswerReader::Step AnswerReader::firstLine(std::string_view bytes) {
  std::string_view line = bytes.substr(begin_);
  std::size_t feed = line.find('\n');
  constexpr std::string_view kStart = "HTTP/1.";
  std::size_t known = std::min(line.size(), kStart.size());
  if (line.substr(0, known) != kStart.substr(0, known) || std::min(feed, line.size()) > kHeadMost) {
    return Step::broken;
  }
  if (feed == std::string_view::npos) return Step::more;
  line = trimmed(line.substr(0, feed));
  // HTTP/1.x, a blank, three digits, and nothing or a blank behind them.
  if (line.size() < 12 || (line[7] != '0' && line[7] != '1') || line[8] != ' ') return Step::broken;
  if (line.size() > 12 && line[12] != ' ') return Step::broken;
  auto status = wholeNumber(line.substr(9, 3));
  if (!status || *status < 100) return Step::broken;
  status_ = static_cast<int>(*status);
  keeps_ = line[7] == '1';
  headersAt_ = begin_ + feed + 1;
  return Step::whole;
}

AnswerReader::Step AnswerReader::head(std::string_view bytes) {
  for (std::size_t at = headersAt_;;) {
    std::size_t feed = bytes.find('\n', at);
    if (std::min(feed, bytes.size()) - begin_ > kHeadMost) return Step::broken;
    if (feed == std::string_view::npos) return Step::more;
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
    if (!named) return Step::broken;
  }
  if (status_ < 200) {  // interim: the real answer follows
    if (status_ == 101) return Step::broken;
    begin_ = bodyAt_;
    headersAt_ = bodyAt_ = 0;
    status_ = 0;
    return Step::whole;
  }
  std::string_view connection = header(bytes, "Connection");
  if (lists(connection, "close")) keeps_ = false;
  if (lists(connection, "keep-alive")) keeps_ = true;
  std::string_view coding = header(bytes, "Transfer-Encoding");
  std::string_view length = header(bytes, "Content-Length");
  if (!coding.empty()) {
    if (!sameWord(coding, "chunked")) return Step::broken;
    chunked_ = true;
    chunkAt_ = bodyAt_;
  } else if (!length.empty()) {
    auto n = wholeNumber(length);
    if (!n || *n > (std::uint64_t{1} << 40)) return Step::broken;
    bodyLength_ = *n;
  } else if (status_ != 204 && status_ != 304) {
    untilEnd_ = true;
    keeps_ = false;
  }
  return Step::whole;
}

AnswerReader::Step AnswerReader::chunks(std::string_view bytes) {
  for (;;) {
    std::size_t feed = bytes.find('\n', chunkAt_);
    if (feed == std::string_view::npos)
      return bytes.size() - chunkAt_ > kHeadMost ? Step::broken : Step::more;
    std::string_view line = trimmed(bytes.substr(chunkAt_, feed - chunkAt_));
    line = trimmed(line.substr(0, line.find(';')));
    std::uint64_t size = 0;
    auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
    if (line.empty() || error != std::errc() || end != line.data() + line.size() || size > (1u << 30)) {
      return Step::broken;
    }
    if (size == 0) {  // trailers up to a blank line
      for (std::size_t at = feed + 1;;) {
        std::size_t next = bytes.find('\n', at);
        if (next == std::string_view::npos) return bytes.size() - at > kHeadMost ? Step::broken : Step::more;
        bool blank = trimmed(bytes.substr(at, next - at)).empty();
        at = next + 1;
        if (blank) {
          end_ = at;
          return Step::whole;
        }
      }
    }
    if (bytes.size() < feed + 1 + size + 2) return Step::more;
    if (bytes.substr(feed + 1 + size, 2) != "\r\n") return Step::broken;
    decoded_.append(bytes.substr(feed + 1, size));
    chunkAt_ = feed + 1 + size + 2;
  }
}

AnswerReader::Step AnswerReader::step(std::string_view bytes, bool ended) {
  Step now = Step::whole;
  while (bodyAt_ == 0) {
    if (headersAt_ == 0) now = firstLine(bytes);
    if (now == Step::whole) now = head(bytes);
    if (now != Step::whole) return ended ? Step::broken : now;
  }
  if (chunked_) {
    now = chunks(bytes);
  } else if (untilEnd_) {
    now = ended ? Step::whole : Step::more;
    bodyLength_ = bytes.size() - bodyAt_;
    end_ = bytes.size();
  } else {
    now = bytes.size() - bodyAt_ >= bodyLength_ ? Step::whole : Step::more;
    end_ = bodyAt_ + bodyLength_;
  }
  return now == Step::more && ended ? Step::broken : now;
}

std::string_view AnswerReader::header(std::string_view bytes, std::string_view name) const {
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

std::string_view AnswerReader::body(std::string_view bytes) const {
  return chunked_ ? std::string_view(decoded_) : bytes.substr(bodyAt_, bodyLength_);
}

bool HttpLink::open(const sockaddr_in& to) {
  auto made = [] { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); };
  fd_ = made();
  // Danger: idle clients hold all descriptors, and nothing is delivered nor heard any more.
  if (fd_ < 0 && (errno == EMFILE || errno == ENFILE) && loop_.madeRoom()) fd_ = made();
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

void HttpLink::begin() {
  busy_ = true;
  in_.clear();
  answer_ = {};
  if (fd_ >= 0 && up_ && out_.write(fd_) != Outgoing::Wrote::all) loop_.again(fd_);
}

void HttpLink::close() {
  if (fd_ < 0) return;
  loop_.forget(fd_);
  ::close(fd_);
  fd_ = -1;
}

bool HttpLink::stillGood() const {
  char byte;
  return fd_ >= 0 && ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpLink::fail() {
  close();
  owner_.broke(*this);
}

void HttpLink::ready(std::uint32_t events) {
  bool halfWritten = up_ && busy_ && !out_.empty();
  if (!up_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & EPOLLERR) != 0) return fail();
    if ((events & EPOLLOUT) == 0) return;
    up_ = true;
    if (!owner_.mayBegin(*this)) return;
  }
  if (halfWritten && !owner_.mayGoOn(*this)) return;
  if (!out_.empty()) write();
  if (fd_ >= 0) read((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
}

void HttpLink::write() {
  // A server may answer, or end, before it has read all: what it said is read before the link is failed.
  if (out_.write(fd_) == Outgoing::Wrote::broken) {
    read(true);
    if (fd_ >= 0 && busy_) fail();
  }
}

void HttpLink::read(bool mayHaveEnded) {
  Got got = readInto(fd_, in_, most_, mayHaveEnded);
  if (!busy_) {  // an idle connection that ends or talks is of no use
    if (got != Got::drained || !in_.empty()) fail();
    return;
  }
  bool ended = got == Got::ended || got == Got::broken;
  if (in_.empty() && !ended) return;
  auto step = answer_.step(in_, got == Got::ended);
  // An answer may claim gigabytes and keep coming: what it claims is not waited for.
  bool tooLong = answer_.claimed() > most_ || (got == Got::more && in_.size() >= most_);
  if (step == AnswerReader::Step::more && tooLong) step = AnswerReader::Step::broken;
  if (step == AnswerReader::Step::more && !ended) {
    if (got == Got::more) loop_.again(fd_);
    owner_.begun(*this);
    return;
  }
  if (step != AnswerReader::Step::whole) return fail();
  // Open for another exchange only where nothing is left over and our own bytes are all out.
  if (ended || !answer_.keeps() || in_.size() > answer_.length() || !out_.empty() || got == Got::more) {
    close();
  }
  busy_ = false;
  owner_.answered(*this);
}

}  // namespace stonewing::net
