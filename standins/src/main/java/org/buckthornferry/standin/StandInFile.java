package org.buckthornferry.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.Json;
import org.buckthornferry.util.Checks;

/** A deployment of stand-ins, as a file describes it. */
record StandInFile(List<Entry> standins) {
  StandInFile {
    standins = List.copyOf(Checks.notNull(standins, "standins"));
  }

  /**
   * One stand-in.
   *
   * @param command the sub-command, such as {@code engine}
   * @param options the options of the sub-command without their leading hyphens
   */
  record Entry(String command, Map<String, String> options) {
    Entry {
      Checks.notEmpty(command, "command");
      options = Map.copyOf(Checks.notNull(options, "options"));
    }

    /** Returns the entry as a command line. */
    String[] toArguments() {
      List<String> arguments = new ArrayList<>(List.of(command));
      options.forEach(
          (name, value) -> {
            arguments.add("--" + name);
            arguments.add(value);
          });
      return arguments.toArray(String[]::new);
    }
  }

  static StandInFile read(Path path) throws IOException {
    return Json.MAPPER.readValue(path.toFile(), StandInFile.class);
  }
}
