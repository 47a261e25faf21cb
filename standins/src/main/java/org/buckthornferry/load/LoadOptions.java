package org.buckthornferry.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The options of the load command. JCommander sets the fields. */
@Parameters(commandDescription = "Sends a load scenario and writes its reports")
final class LoadOptions {
  @Parameter(names = "--scenario", required = true, description = "Scenario file")
  Path scenario;

  @Parameter(names = "--out", required = true, description = "Directory for records and reports")
  Path out;

  @Parameter(
      names = "--direct",
      description =
          "Baselines that bypass the entry instances, run after the scenario: round_robin,"
              + " least_outstanding, power_of_two")
  List<DirectPolicy> direct = new ArrayList<>();

  @Parameter(names = "--only-direct", description = "Leaves the run through the entries out")
  boolean onlyDirect;

  @Parameter(names = "--rate-factor", description = "Factor on all rates")
  double rateFactor = 1;

  @Parameter(names = "--seconds-factor", description = "Factor on the duration of all phases")
  double secondsFactor = 1;

  @Parameter(names = "--target", description = "Entry addresses in place of the scenario's")
  List<String> targets = new ArrayList<>();
}
