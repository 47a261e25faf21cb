package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import org.buckthornferry.config.DeclarationLoader;
import org.buckthornferry.config.Declarations;

/** Publishes the declarations of a directory as the next configuration revision. */
@Parameters(commandDescription = "Check and publish a directory of declarations")
final class PublishCommand implements Command {
  @ParametersDelegate private final StoreOptions store = new StoreOptions();

  @Parameter(description = "DIRECTORY", required = true)
  private String directory;

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public ExitCode run() {
    Declarations declarations = DeclarationLoader.load(Path.of(directory));
    return store.publish(publisher -> publisher.publish(declarations));
  }
}
