/// \file
/// Incremental parsing of one HTTP message with limits on all of its parts.
#ifndef ENDIVEDOOR_PLATFORM_DETAIL_MESSAGEREADER_H
#define ENDIVEDOOR_PLATFORM_DETAIL_MESSAGEREADER_H

#include "endivedoor/platform/Http.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <string_view>

namespace endivedoor::platform::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Number of bytes read at a time.
inline constexpr std::size_t ReadBytes = 4096;
/// Framing that is allowed for each body byte. A chunk of one byte needs five.
inline constexpr std::size_t FramingPerBodyByte = 8;
/// The read buffer, the fields of the parser and those of the request.
inline constexpr std::size_t HeaderCopies = 4;
/// A string that grows has up to twice the capacity that it needs.
inline constexpr std::size_t GrowingBodyFactor = 2;

/// Returns the maximum size of a read buffer. Without one, a chunk line or
/// trailers without end would use up the memory.
///
/// \param readBytes number of bytes of a body that are read at a time.
inline std::size_t maxBufferBytes(const HttpLimits &limits,
                                  std::size_t readBytes = ReadBytes) {
  return limits.HeaderBytes + readBytes;
}

/// Parses a message from a buffer into which its caller reads.
///
/// Limits on top of those of the Beast parser: the number of header lines,
/// the total size of the header, and the bytes that are neither header nor
/// body (chunk lines, extensions and trailers).
template <bool IsRequest> class MessageReader {
public:
  /// \param buf holds at most maxBufferBytes(); its content is the begin of
  /// the message.
  /// \param readBytes number of bytes of a body that are read at a time.
  MessageReader(beast::flat_buffer &buf, const HttpLimits &limits,
                std::size_t readBytes = ReadBytes)
      : Buffer(buf), Limits(limits), BodyReadBytes(readBytes) {
    Parser.header_limit(static_cast<std::uint32_t>(limits.HeaderBytes));
    Parser.body_limit(limits.BodyBytes);
  }

  http::parser<IsRequest, http::string_body> Parser;

  /// Returns space for the next read; empty if the buffer is full.
  auto prepare() {
    std::size_t n = Parser.is_header_done() ? BodyReadBytes : ReadBytes;
    return Buffer.prepare(std::min(n, Buffer.max_size() - Buffer.size()));
  }
  /// Adds \p n bytes that have been read into the space from prepare().
  void commit(std::size_t n) { Buffer.commit(n); }

  /// Parses up to the end of the header.
  ///
  /// \returns need_more if the header is incomplete, header_limit if it is too
  /// large or has too many lines, or another error of the parser.
  error_code parseHeader() {
    if (!countLines())
      return http::error::header_limit;
    error_code ec;
    std::size_t n = Parser.put(Buffer.data(), ec);
    Buffer.consume(n);
    Scanned = Buffer.size();
    HeaderSize += n;
    std::size_t size = HeaderSize;
    if (ec == http::error::need_more)
      size += Buffer.size();
    if (size > Limits.HeaderBytes)
      return http::error::header_limit;
    Parser.eager(true);
    return ec;
  }

  /// Parses what the buffer holds of the body.
  ///
  /// \returns need_more if the body is incomplete, buffer_overflow if there is
  /// too much framing, or another error of the parser.
  error_code parseBody() {
    error_code ec;
    const std::string &body = Parser.get().body();
    while (!ec && !Parser.is_done()) {
      if (Buffer.size() == 0)
        return http::error::need_more;
      std::size_t before = body.size();
      std::size_t n = Parser.put(Buffer.data(), ec);
      Buffer.consume(n);
      Framing += n - (body.size() - before);
      if (Framing > Limits.HeaderBytes + FramingPerBodyByte * body.size())
        return http::error::buffer_overflow;
      if (n == 0 && !ec)
        ec = http::error::need_more;
    }
    // Body bytes are consumed at once; what stays is a chunk line or trailers.
    if (ec == http::error::need_more && Buffer.size() >= maxBufferBytes(Limits))
      return http::error::buffer_overflow;
    return ec;
  }

  /// Returns the memory, in bytes, that the message takes after the next read.
  /// A body whose length is known counts in full.
  std::size_t memoryBytes() const {
    if (!Parser.is_header_done())
      return HeaderCopies * (HeaderSize + Buffer.size());
    std::size_t body = 0;
    if (auto length = Parser.content_length())
      body = *length;
    else if (Parser.chunked())
      body = GrowingBodyFactor * (Parser.get().body().size() + ReadBytes);
    return HeaderCopies * HeaderSize + body;
  }

  /// Parses what the buffer holds of the message.
  error_code parse() {
    error_code ec;
    if (!Parser.is_header_done())
      ec = Buffer.size() == 0 ? error_code(http::error::need_more)
                              : parseHeader();
    return ec ? ec : parseBody();
  }

private:
  /// Counts the lines in the bytes that have not been counted, up to the end
  /// of the header. The parser copies each field as soon as it is complete,
  /// and a copy takes many times the size of a short field. \returns whether
  /// the number of lines is allowed.
  bool countLines() {
    std::string_view text(static_cast<const char *>(Buffer.data().data()),
                          Buffer.size());
    for (char c : text.substr(std::min(Scanned, text.size()))) {
      if (c != '\n') {
        LineIsEmpty = LineIsEmpty && c == '\r';
        continue;
      }
      // Empty lines before the first line do not end the header.
      if (LineIsEmpty && Lines > 0)
        return true;
      if (!LineIsEmpty && ++Lines > Limits.HeaderFields + 1)
        return false;
      LineIsEmpty = true;
    }
    return true;
  }

  beast::flat_buffer &Buffer;
  const HttpLimits &Limits;
  const std::size_t BodyReadBytes;
  /// Bytes at the begin of the buffer whose lines have been counted.
  std::size_t Scanned = 0;
  std::size_t Lines = 0;
  bool LineIsEmpty = true;
  std::size_t HeaderSize = 0;
  std::size_t Framing = 0;
};

} // namespace endivedoor::platform::detail

#endif
