#pragma once

#include <algorithm>
#include <cstddef>

namespace catkinlock {

/// Bounds the statements that an instance has at one member at once. The window grows slowly while the member accepts
/// statements and is halved when the member refuses one for want of capacity. The instances together then keep the
/// member busy, and further statements queue at their instance, where they can still be refused in time or sent to
/// another member.
class SendWindow {
public:
    /// Statements that may be at the member now.
    std::size_t size() const { return static_cast<std::size_t>(this->width); }
    /// Records a reply of the member while `inUse` statements of this instance were at it. The window grows only if it
    /// was nearly used up.
    void recordReply(std::size_t inUse)
    {
        if (inUse + 1 >= this->size())
            this->width = std::min(this->width + growthPerReply, maxWidth);
    }
    /// Records that the member refused a statement for want of capacity.
    void recordRefusal() { this->width = std::max(this->width / 2, minWidth); }

private:
    static constexpr double minWidth = 1;
    static constexpr double maxWidth = 16;
    static constexpr double initialWidth = 4;
    static constexpr double growthPerReply = 0.2;

    double width = initialWidth;
};

} // namespace catkinlock
