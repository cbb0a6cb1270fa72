#pragma once

/// Requests that callers outside our control may send.

#include "AbusedRouter.h"

#include <iterator>

namespace jayhold::test {

/// @return a request without a body whose head has the maximum size.
inline auto fullHead(std::string_view line) -> std::string
{
    const auto head = requestHead("/silent/", "Content-Length: 0\r\n");
    return head + repeat(line, maxHeaderBytes - head.size() - 2) + "\r\n";
}

inline auto chunkedHead() -> std::string
{
    return requestHead("/silent/", "Transfer-Encoding: chunked\r\n\r\n");
}

/// @return the beginning of a head whose size is a multiple of four, as that of the server's reads is.
inline auto alignedHead() -> std::string
{
    auto head = requestHead("/silent/", "Padding: ");
    while ((head.size() + 2) % 4 != 0)
        head += 'x';
    return head + "\r\n";
}

inline const AbusiveCaller shortLines { .opening = fullHead("a:b\r\n") };
inline const AbusiveCaller emptyLines { .opening = fullHead("a:\r\n") };
inline const AbusiveCaller unusualLines { .opening = fullHead("!#$%&'*+-.^_`|~9:\t\"\\\"\t\r\n") };
inline const AbusiveCaller trailers { .opening = chunkedHead() + "5\r\nhello\r\n0\r\n", .repeated = repeat("a:b\r\n", 65'536) };
inline const AbusiveCaller largeHead { .opening = requestHead("/silent/", {}) + repeat("a: b\r\n", 4 * maxHeaderBytes) + "\r\n" };
inline const AbusiveCaller endlessHead { .opening = requestHead("/silent/", "Long: "), .repeated = std::string(65'536, 'x') };
/// Each read of the server ends at the end of a line.
inline const AbusiveCaller endlessLines { .opening = alignedHead(), .repeated = repeat("a:\r\n", 65'536), .writeBytes = 400 };
inline const AbusiveCaller slowHead { .opening = requestHead("/silent/", "Long: "), .repeated = "x", .writeBytes = 1 };
inline const AbusiveCaller emptyLinesBefore { .repeated = repeat("\r\n", 65'536) };
inline const AbusiveCaller chunkExtensions { .opening = chunkedHead() + "5;", .repeated = std::string(65'536, 'x') };
inline const AbusiveCaller smallChunks { .opening = chunkedHead(), .repeated = repeat("1\r\nx\r\n", 65'536) };
inline const AbusiveCaller unsentBody { .opening = requestHead("/silent/", "Content-Length: 4194304\r\n\r\n") };
inline const AbusiveCaller unsentSmallBody { .opening = fullHead("a:\r\n").replace(fullHead("a:\r\n").find("Content-Length: 0"), 17, "Content-Length: 9") };
inline const AbusiveCaller pipelined { .repeated = repeat(requestHead("/none/", "Content-Length: 0\r\n\r\n"), 65'536), .readsResponses = false };
inline const AbusiveCaller silentCaller {};

/// @return callers of all sorts in equal numbers.
inline auto mixtureOf(std::size_t count) -> std::vector<AbusiveCaller>
{
    const AbusiveCaller* const sorts[] = { &shortLines, &emptyLines, &unusualLines, &trailers, &largeHead, &endlessHead, &endlessLines, &slowHead, &emptyLinesBefore, &chunkExtensions, &smallChunks, &unsentBody, &unsentSmallBody, &pipelined, &silentCaller };
    std::vector<AbusiveCaller> mixture;
    for (std::size_t index = 0; index < count; ++index)
        mixture.push_back(*sorts[index % std::size(sorts)]);
    return mixture;
}

}
