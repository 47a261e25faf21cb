package org.buckthornferry.duty;

import org.buckthornferry.util.Checks;

/**
 * What one holder at a time acts on.
 *
 * @param duty the name of the duty; used in store keys, log lines and metrics
 * @param subject the part of the duty that has a holder of its own; neither empty nor with a slash
 */
public record DutySubject(String duty, String subject) {
  /** Checks that both parts can be used in a store key. */
  public DutySubject {
    Checks.notEmpty(duty, "duty");
    Checks.notEmpty(subject, "subject");
    Checks.check(duty.indexOf('/') < 0, "duty must not contain a slash: " + duty);
    Checks.check(subject.indexOf('/') < 0, "subject must not contain a slash: " + subject);
  }

  @Override
  public String toString() {
    return duty + "/" + subject;
  }
}
