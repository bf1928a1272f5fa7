#include "gateway/responsememory.h"

namespace Lycheewall
{

namespace
{

/// All responses together may hold this much; a machine has 160 MB or more.
constexpr std::size_t maxTotalBytes = std::size_t { 32 } * 1024 * 1024;
/// A response up to this size is always accepted, so that large ones elsewhere do not make it fail.
constexpr std::size_t smallResponseBytes = std::size_t { 256 } * 1024;

}

bool ResponseMemory::update(std::size_t previousBytes, std::size_t currentBytes)
{
    this->totalBytes += currentBytes;
    this->totalBytes -= previousBytes;
    if (currentBytes > maxResponseBytes) {
        return false;
    }
    return currentBytes <= smallResponseBytes || this->totalBytes <= maxTotalBytes;
}

}
