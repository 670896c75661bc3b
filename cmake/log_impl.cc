// Defines the storage of easylogging++ in the same library as its code, so that
// programs link regardless of the library order.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
