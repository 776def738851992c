#include "load/experiment/admission_model.h"

#include "load/experiment/fifo_admission.h"

#include <array>

namespace foxtailtally {

std::span<const std::string_view> admissionModelNames()
{
    static constexpr std::array<std::string_view, 1> kNames = {"fifo"};
    return kNames;
}

std::unique_ptr<AdmissionModel> makeAdmissionModel(std::string_view name,
                                                   const std::vector<BackendServer> &servers,
                                                   absl::Time /*now*/)
{
    if (name == "fifo")
        return std::make_unique<FifoAdmission>(servers);
    return nullptr;
}

} // namespace foxtailtally
