// Compiles the non-template parts of Boost.JSON.
#include <boost/json/src.hpp>
