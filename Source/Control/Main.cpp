#include "Control/ControlProcess.h"
#include "Process/ProgramMain.h"

using namespace rattancart;

int main(int Count, char **Values) {
  return runProgram<ControlProcess, ControlSettings>(
      Count, Values,
      {"control", "rattancart-control: settings, endpoints, claims and administration",
       loadControlSettings});
}
