package org.buckthornferry.error;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class ErrorKindTest {
  /** Guards against a documentation page that differs from the errors that callers receive. */
  @Test
  void errorsPageListsEveryKindAsTheEnumDefinesIt() throws IOException {
    List<String> page = Files.readAllLines(Path.of("../docs/errors.md"));
    List<String> rows = page.stream().filter(line -> line.startsWith("| `")).toList();
    List<String> expected =
        java.util.Arrays.stream(ErrorKind.values()).map(ErrorKindTest::row).toList();
    assertThat(rows).containsExactlyElementsIn(expected).inOrder();
  }

  private static String row(ErrorKind kind) {
    return String.format(
        "| `%s` | %d | `%s` | %s | %s |",
        kind.name(),
        kind.httpStatus(),
        kind.retryAdvice(),
        kind.notRun() ? "true" : "not said",
        kind.title());
  }
}
