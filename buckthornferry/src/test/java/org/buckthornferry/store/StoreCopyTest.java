package org.buckthornferry.store;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests what a copy keeps and what it ignores when the store was restored from an older copy. */
final class StoreCopyTest {
  private final StoreCopy copy = new StoreCopy(StoreCopyTest::supersedes);
  private long nowNanos = 1;

  @Test
  void keepsAnItemThatTheStoreHasLostForALimitedTime() {
    list(1, 10, "a 5 v");
    change(1, 12, "b 12 v");
    list(2, 11, "a 5 v");
    assertThat(values()).containsExactly("a=v", "b=v?");
    expire(StoreCopy.LOST_RETENTION_MILLIS);
    assertThat(values()).containsExactly("a=v");
  }

  @Test
  void anItemThatIsWrittenAgainIsUnchanged() {
    list(1, 10, "a 5 v");
    change(1, 12, "b 12 v");
    final StorePosition since = item("b").since();
    list(2, 11, "a 5 v");
    change(2, 13, "b 13 v");
    assertThat(values()).containsExactly("a=v", "b=v");
    assertThat(item("b").since()).isEqualTo(since);
    assertThat(item("b").revision()).isEqualTo(13);
    expire(StoreCopy.LOST_RETENTION_MILLIS);
    assertThat(values()).containsExactly("a=v", "b=v");
  }

  @Test
  void ignoresAnOlderValueUntilTheKeyChanges() {
    list(1, 10, "a 5 old");
    change(1, 12, "a 12 new");
    list(2, 11, "a 5 old");
    assertThat(values()).containsExactly("a=new?");
    assertThat(item("a").revision()).isEqualTo(5);
    expire(StoreCopy.LOST_RETENTION_MILLIS);
    assertThat(values()).containsExactly("a=new?");
    change(2, 12, "a 12 other");
    assertThat(values()).containsExactly("a=other");
  }

  @Test
  void ignoresAnItemThatHadBeenRemoved() {
    list(1, 10, "a 5 v", "b 6 v");
    change(1, 12, "a 12");
    list(2, 11, "a 5 v", "b 6 v");
    assertThat(values()).containsExactly("b=v");
    assertThat(copy.resurrected("").stream().map(StoreItem::key).toList()).containsExactly("a");
    change(2, 12, "a 12 w");
    assertThat(values()).containsExactly("a=w", "b=v");
    assertThat(copy.resurrected("")).isEmpty();
  }

  @Test
  void takesWhatWasWrittenSinceTheRestore() {
    list(1, 10, "a 5 v");
    change(1, 14, "b 14 v");
    list(2, 13, "a 12 w", "c 13 v");
    assertThat(values()).containsExactly("a=w", "b=v?", "c=v");
  }

  @Tag("known-red")
  @Test
  void doesNotTakeAWriteForNewThatAListingSkipped() {
    list(1, 10, "a 5 v");
    change(1, 12, "a 12");
    // Written at revision 15, and removed before the listing.
    list(1, 20);
    list(2, 16, "a 15 w");
    assertThat(values()).isEmpty();
  }

  /** A revision that was given out twice is that of two different writes. */
  @Test
  void aRevisionAloneDoesNotIdentifyAWrite() {
    list(1, 10, "a 5 v");
    change(1, 11, "a 11 x");
    list(2, 11, "a 11 y");
    assertThat(values()).containsExactly("a=x?");
    expire(StoreCopy.UNKNOWN_RETENTION_MILLIS);
    assertThat(values()).containsExactly("a=y");
  }

  /** The copy began after the item had been removed and does not know of it. */
  @Test
  void ignoresAnItemThatMayBeOldForALimitedTime() {
    list(1, 10, "a 7 v");
    list(2, 13, "a 7 v", "b 6 v", "c 12 v");
    assertThat(values()).containsExactly("a=v", "c=v");
    expire(StoreCopy.UNKNOWN_RETENTION_MILLIS);
    assertThat(values()).containsExactly("a=v", "b=v", "c=v");
  }

  @Test
  void takesAValueOfUnknownAgeAtOnceIfItTellsThatItIsNewer() {
    list(1, 10, "a 5 v");
    change(1, 12, "a 12 version2");
    change(1, 13, "b 13 version2");
    list(2, 12, "a 11 version3", "b 12 version1");
    assertThat(values()).containsExactly("a=version3", "b=version2?");
  }

  @Test
  void ignoresOldValuesThatAreRepeatedOnTheWayToTheLostOne() {
    list(1, 10, "a 5 v1");
    change(1, 11, "a 11 v2");
    change(1, 12, "a 12 v3");
    list(2, 10, "a 5 v1");
    change(2, 11, "a 11 v2");
    assertThat(values()).containsExactly("a=v3?");
    change(2, 12, "a 12 v3");
    assertThat(values()).containsExactly("a=v3");
  }

  @Test
  void severalRestoresInARow() {
    list(1, 10, "a 5 v1", "b 6 v");
    change(1, 11, "a 11 v2");
    change(1, 12, "b 12");
    change(1, 13, "c 13 v");
    list(2, 10, "a 5 v1", "b 6 v");
    list(3, 9, "a 5 v1", "b 6 v");
    assertThat(values()).containsExactly("a=v2?", "c=v?");
    change(3, 10, "c 10 v");
    list(4, 10, "a 5 v1", "b 6 v", "c 10 v");
    assertThat(values()).containsExactly("a=v2?", "c=v");
    change(4, 11, "a 11 v2");
    change(4, 12, "b 12");
    list(5, 9, "a 5 v1", "b 6 v");
    assertThat(values()).containsExactly("a=v2?", "c=v?");
  }

  @Test
  void keepsAConfirmedWriteOfItsOwnThatItHasNotReadBack() {
    list(1, 10, "a 5 v");
    copy.recordOwnWrite(StoreItem.stored("b", bytes("v"), new StorePosition(1, 11)));
    list(2, 9, "a 5 v");
    assertThat(values()).containsExactly("a=v", "b=v?");
  }

  @Test
  void aNewCopyAdoptsWhatAnotherOneKeeps() {
    StoreCopy other = new StoreCopy(StoreCopyTest::supersedes);
    other.replace(listing(1, "a 5 old", "b 6 v"), new StorePosition(1, 10), nowNanos);
    other.apply(batch(1, 12, "a 12 new"), nowNanos);
    other.apply(batch(1, 13, "b 13"), nowNanos);
    other.apply(batch(1, 14, "c 14 v"), nowNanos);
    other.replace(listing(2, "a 5 old", "b 6 v"), new StorePosition(2, 11), nowNanos);
    list(2, 11, "a 5 old", "b 6 v");
    copy.adoptKept(other.keptItems(), nowNanos);
    assertThat(values()).containsExactly("a=new?", "c=v?");
  }

  @Test
  void aNewCopyDoesNotAdoptWhatHasBeenWrittenSince() {
    StoreCopy other = new StoreCopy(StoreCopyTest::supersedes);
    other.replace(listing(1, "a 5 old"), new StorePosition(1, 10), nowNanos);
    other.apply(batch(1, 12, "a 12 new"), nowNanos);
    other.replace(listing(2, "a 5 old"), new StorePosition(2, 11), nowNanos);
    list(2, 13, "a 13 newest");
    copy.adoptKept(other.keptItems(), nowNanos);
    assertThat(values()).containsExactly("a=newest");
  }

  @Test
  void changesOfAnotherEraAreIgnored() {
    list(1, 10, "a 5 v");
    list(2, 9, "a 5 v");
    assertThat(copy.apply(batch(1, 12, "a 12 w"), nowNanos)).isFalse();
    assertThat(values()).containsExactly("a=v");
    assertThat(copy.position()).isEqualTo(new StorePosition(2, 9));
  }

  @Test
  void doesNotReachBackToAnEarlierEra() {
    list(1, 10, "a 5 v");
    list(2, 9, "a 5 v");
    change(2, 10, "a 10 w");
    assertThat(copy.changesAfter(new StorePosition(1, 9))).isEmpty();
    assertThat(copy.changesAfter(new StorePosition(2, 9)).orElseThrow()).hasSize(1);
    assertThat(copy.changesAfter(new StorePosition(3, 1)).orElseThrow()).isEmpty();
  }

  private static boolean supersedes(StoreItem item, StoreItem other) {
    return item.text().startsWith("version") && item.text().compareTo(other.text()) > 0;
  }

  private void list(long era, long revision, String... items) {
    nowNanos++;
    copy.replace(listing(era, items), new StorePosition(era, revision), nowNanos);
  }

  private void change(long era, long revision, String item) {
    nowNanos++;
    copy.apply(batch(era, revision, item), nowNanos);
  }

  private void expire(long afterMillis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(afterMillis);
    copy.expire(nowNanos);
  }

  private static ChangeBatch batch(long era, long revision, String item) {
    return new ChangeBatch(List.of(item(era, item)), new StorePosition(era, revision));
  }

  private static Map<String, StoreItem> listing(long era, String... items) {
    Map<String, StoreItem> listing = new TreeMap<>();
    for (String text : items) {
      StoreItem item = item(era, text);
      listing.put(item.key(), item);
    }
    return listing;
  }

  /** Decodes "key revision value", or "key revision" for a removal. */
  private static StoreItem item(long era, String text) {
    List<String> words = List.of(text.split(" ", -1));
    StorePosition position = new StorePosition(era, Long.parseLong(words.get(1)));
    return words.size() == 2
        ? StoreItem.removal(words.get(0), position)
        : StoreItem.stored(words.get(0), bytes(words.get(2)), position);
  }

  private StoreItem item(String key) {
    return copy.items(key).iterator().next();
  }

  /** Returns the items in force; a question mark stands behind those that the store lacks. */
  private List<String> values() {
    List<String> values = new ArrayList<>();
    for (StoreItem item : copy.items()) {
      values.add(item.key() + "=" + item.text() + (item.isStored() ? "" : "?"));
    }
    return values;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
