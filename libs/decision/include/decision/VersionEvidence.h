// Whether a new version of a service answers worse than the old one: a cumulative sum test on
// counts of bad answers, which also finds a version that turns bad later.
#pragma once

#include <cstdint>

namespace basilnotch {

/// Answers of one version, all instances together; counts only grow.
struct AnswerCounts
{
    std::int64_t answers = 0;
    std::int64_t bad = 0; ///< Failures, cuts, and answers far slower than usual.

    void add(const AnswerCounts &other)
    {
        this->answers += other.answers;
        this->bad += other.bad;
    }
};

struct VersionEvidenceOptions
{
    double usualFloor = 0.05;  ///< The old version's share of bad answers counts as at least this.
    double badFactor = 4;      ///< The alternative, as a multiple of the usual share.
    double badFloor = 0.25;    ///< The alternative is at least this share.
    double falseAlarm = 0.002; ///< Chance to call a good version bad.
};

/// Feed it totals as often as they change.
class VersionEvidence
{
public:
    explicit VersionEvidence(VersionEvidenceOptions options = {});

    /// True once the new version has shown to be worse; it stays true.
    bool update(const AnswerCounts &oldVersion, const AnswerCounts &newVersion);
    bool isBad() const { return this->bad; }

private:
    const VersionEvidenceOptions options;
    AnswerCounts seen; ///< Totals of the new version that the sum contains.
    double sum = 0;    ///< Log likelihood ratio since its last minimum.
    bool bad = false;
};

} // namespace basilnotch
