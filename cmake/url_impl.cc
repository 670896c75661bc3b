// Compiles the non-template parts of Boost.URL.
#include <boost/url/src.hpp>
