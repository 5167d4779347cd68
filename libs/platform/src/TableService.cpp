// Convenience over the one primitive of the table.
#include <platform/TableService.h>

namespace basilnotch {

absl::StatusOr<TableWriteResult> TableService::writeOne(TableWrite write)
{
    auto results = this->write({std::move(write)});
    if (!results.ok()) {
        return results.status();
    }
    return std::move(results->front());
}

} // namespace basilnotch
