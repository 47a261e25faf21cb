package org.buckthornferry.standin;

/**
 * The load of an endpoint, as {@code GET /load} reports it.
 *
 * @param running the requests in the batch
 * @param waiting the requests that wait in arrival order
 * @param prefillTokensQueued the prompt tokens that are not prefilled yet
 * @param cold whether the endpoint says that it is in cold start
 * @param leaving whether the endpoint will stop
 * @param version the loaded version
 * @param tokensPerSecond the tokens generated in the last second
 * @param startId differs after each start of the endpoint
 * @param completedTotal the requests that ended in full since the start of the stand-in
 * @param ageMillis the age of the report
 */
record LoadReport(
    int running,
    int waiting,
    long prefillTokensQueued,
    boolean cold,
    boolean leaving,
    String version,
    double tokensPerSecond,
    long startId,
    long completedTotal,
    long ageMillis) {
  LoadReport withAge(long newAgeMillis) {
    return new LoadReport(
        running,
        waiting,
        prefillTokensQueued,
        cold,
        leaving,
        version,
        tokensPerSecond,
        startId,
        completedTotal,
        newAgeMillis);
  }
}
