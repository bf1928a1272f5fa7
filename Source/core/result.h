#pragma once

#include <boost/outcome/std_result.hpp>
#include <system_error>

namespace Lycheewall
{

/// A value or a std::error_code.
template<typename Value> using Result = boost::outcome_v2::std_result<Value>;

/// A value or an error struct that names the offending item. Behaviour is undefined when the value of a failure or the
/// error of a success is read; check first.
template<typename Value, typename Problem>
using ResultOr = boost::outcome_v2::std_result<Value, Problem, boost::outcome_v2::policy::all_narrow>;

/// Creates a failed result: `return failure(Error::X);`
using boost::outcome_v2::failure;
using boost::outcome_v2::success;

}
