#include "Process/ProgramMain.h"
#include "Router/RouterProcess.h"

using namespace rattancart;

int main(int Count, char **Values) {
  return runProgram<RouterProcess, RouterSettings>(
      Count, Values, {"router", "rattancart-router: serves callers' requests", loadRouterSettings});
}
