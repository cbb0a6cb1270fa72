#pragma once

/// The results of a load run, by item of the mix.

#include "CallResult.h"
#include "LoadItem.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace jayhold {

class LoadReport {
public:
    explicit LoadReport(const std::vector<LoadItem>& mix);
    ~LoadReport();
    LoadReport(const LoadReport&) = delete;
    auto operator=(const LoadReport&) -> LoadReport& = delete;

    /// Adds the result of one call; may be called from several threads.
    auto add(const LoadItem& item, const CallResult& result) -> void;

    /// @param elapsed duration of the run, from which the goodput per second follows.
    auto toJson(Duration elapsed) const -> boost::json::object;

    /// @return a human-readable table.
    static auto table(const boost::json::object& report) -> std::string;

private:
    struct ItemReport;

    mutable std::mutex m_lock;
    std::map<std::string, std::unique_ptr<ItemReport>> m_items;
};

}
