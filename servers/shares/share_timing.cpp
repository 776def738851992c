#include "servers/shares/share_timing.h"

namespace foxtailtally {

ShareTimingBuilder &ShareTimingBuilder::setTerm(absl::Duration term)
{
    this->timing.term = term;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setRenewal(absl::Duration renewal)
{
    this->timing.renewal = renewal;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setRetry(absl::Duration retry)
{
    this->timing.retry = retry;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setReuseMargin(absl::Duration reuseMargin)
{
    this->timing.reuseMargin = reuseMargin;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setStartBound(absl::Duration startBound)
{
    this->timing.startBound = startBound;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setReportLag(absl::Duration reportLag)
{
    this->timing.reportLag = reportLag;
    return *this;
}

ShareTimingBuilder &ShareTimingBuilder::setListLag(absl::Duration listLag)
{
    this->timing.listLag = listLag;
    return *this;
}

Result<ShareTiming> ShareTimingBuilder::build() const
{
    const ShareTiming &t = this->timing;
    if (t.term <= absl::ZeroDuration() || t.retry <= absl::ZeroDuration()
        || t.startBound <= absl::ZeroDuration() || t.reportLag < absl::ZeroDuration()
        || t.listLag < absl::ZeroDuration())
        return Error::SettingsInvalid;
    if (t.renewal * 2 >= t.term || t.renewal < t.retry)
        return Error::SettingsInvalid;
    if (t.reuseMargin < t.term * 0.03)
        return Error::SettingsInvalid;
    return t;
}

} // namespace foxtailtally
