package org.buckthornferry.relay;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.buckthornferry.relay.EndpointProtocol.ResponseHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseKindTest {
  @ParameterizedTest
  @ValueSource(ints = {400, 408, 429, 503})
  void aMarkedRejectionShowsThatTheRequestDidNotRun(int status) {
    assertThat(kind(status, /* isSigned= */ false, /* isNotRun= */ true))
        .isEqualTo(ResponseKind.NOT_RUN);
  }

  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void anUnmarkedRejectionDoesNot(int status) {
    assertThat(kind(status, /* isSigned= */ true, /* isNotRun= */ false))
        .isEqualTo(ResponseKind.UNUSABLE);
  }

  /** Guards against a second send of a request that the first endpoint served. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSuccessThatSaysNotRunIsNoRejection(boolean isSigned) {
    assertThat(kind(200, isSigned, /* isNotRun= */ true)).isEqualTo(ResponseKind.UNUSABLE);
  }

  @Test
  void onlyASignedSuccessIsServed() {
    assertThat(kind(200, /* isSigned= */ true, /* isNotRun= */ false))
        .isEqualTo(ResponseKind.SERVED);
    assertThat(kind(200, /* isSigned= */ false, /* isNotRun= */ false))
        .isEqualTo(ResponseKind.UNUSABLE);
  }

  private static ResponseKind kind(int status, boolean isSigned, boolean isNotRun) {
    return ResponseKind.of(
        new ResponseHead(
            status, isSigned, isNotRun, /* isMisdirected= */ false, EmptyHttpHeaders.INSTANCE));
  }
}
