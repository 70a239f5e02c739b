#pragma once

#include <malloc.h>

namespace catkinlock {

/// Has the allocator take large buffers, such as those of callers' messages, from the system and give them back as soon
/// as they are freed. By default it keeps them in its heap once the first was freed; a heap that many connections grow
/// at the same time is then several times as large as what they hold. To be called before any other thread starts.
inline void returnLargeBuffers()
{
    constexpr int largeBufferBytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
}

} // namespace catkinlock
