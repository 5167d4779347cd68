// Compiles Plugins.h and Registry.h on their own, so that both headers stay self-contained.
#include <kernel/Plugins.h>
