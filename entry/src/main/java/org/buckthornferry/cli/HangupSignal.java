package org.buckthornferry.cli;

import java.lang.reflect.Proxy;

/**
 * Handles the signal that says that the settings have changed; without a handler the virtual
 * machine would stop. The classes are looked up by name, because the compiler warns of their direct
 * use and offers no way to accept it.
 */
public final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs {@code action} on a thread of its own at each signal.
   *
   * @throws IllegalStateException when the virtual machine offers no signals
   */
  public static void handle(Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object signal = signalType.getConstructor(String.class).newInstance("HUP");
      Object handler =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("signals cannot be handled", e);
    }
  }
}
