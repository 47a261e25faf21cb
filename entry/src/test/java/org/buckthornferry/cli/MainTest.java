package org.buckthornferry.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
  private static final String EXAMPLES = "../deploy/";

  /** Guards against scripts that cannot tell usage errors from failures. */
  @Test
  void usageErrorsHaveTheirExitCode() {
    assertThat(new Main().run()).isEqualTo(ExitCode.USAGE);
    assertThat(new Main().run("no-such-command")).isEqualTo(ExitCode.USAGE);
    assertThat(new Main().run("publish", "somewhere")).isEqualTo(ExitCode.USAGE);
    assertThat(new Main().run("check")).isEqualTo(ExitCode.USAGE);
  }

  /** Guards against help and version that count as errors. */
  @Test
  void helpAndVersionSucceed() {
    assertThat(new Main().run("--help")).isEqualTo(ExitCode.SUCCESS);
    assertThat(new Main().run("--version")).isEqualTo(ExitCode.SUCCESS);
  }

  /** Guards against example declarations that the check refuses. */
  @Test
  void exampleDeclarationsAreValid() {
    assertThat(new Main().run("check", EXAMPLES + "carnauba")).isEqualTo(ExitCode.SUCCESS);
    assertThat(new Main().run("check", EXAMPLES + "hooghly")).isEqualTo(ExitCode.SUCCESS);
  }

  /** Guards against invalid declarations that look like a failure of the command. */
  @Test
  void invalidDeclarationsHaveTheirExitCode(@TempDir Path directory) throws IOException {
    Files.writeString(directory.resolve("customers.json"), "{");
    assertThat(new Main().run("check", directory.toString())).isEqualTo(ExitCode.INVALID);
  }

  /** Guards against a store that is down and looks like a conflict. */
  @Test
  void unreachableStoreHasItsExitCode() {
    assertThat(new Main().run("drain", "--store", "http://127.0.0.1:1", "kol-a"))
        .isEqualTo(ExitCode.UNREACHABLE);
  }
}
