// Defines the storage of easylogging++ beside its code, so that the library
// links into a program in any order.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
