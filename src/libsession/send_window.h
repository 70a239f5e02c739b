#pragma once

#include <algorithm>
#include <cstddef>

namespace catkinlock {

/// How many statements an instance has at one member at once. Grows slowly while the member takes them and is halved
/// when it refuses one for want of room, so that the instances together fill the member and wait at home, where a
/// statement can still be refused in time or go elsewhere.
class SendWindow {
public:
    std::size_t size() const { return static_cast<std::size_t>(this->width); }
    /// The member answered while `inUse` statements of this instance were there.
    void noteAnswered(std::size_t inUse)
    {
        if (inUse + 1 >= this->size())
            this->width = std::min(this->width + growth, largest);
    }
    void noteRefused() { this->width = std::max(this->width / 2, smallest); }

private:
    static constexpr double smallest = 1;
    static constexpr double largest = 16;
    static constexpr double first = 4;
    static constexpr double growth = 0.2;

    double width = first;
};

} // namespace catkinlock
