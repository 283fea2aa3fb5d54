package org.goldcrestfall.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against addresses to which opening a connection fails with an exception, or blocks. */
class UpstreamAddressTest {

  @Example
  void addressOfIpAndPortIsValid() {
    for (String address : List.of("10.0.0.9:8080", "127.0.0.1:1", "255.255.255.255:65535")) {
      assertThat(UpstreamAddress.isValid(address)).as(address).isTrue();
    }
  }

  @Example
  void portOutOfRangeNameAndIncompleteAddressAreNot() {
    for (String address :
        List.of(
            "10.0.0.9:65536",
            "10.0.0.9:99999",
            "10.0.0.9:0",
            "10.0.0.9:-1",
            "10.0.0.9",
            "10.0.0.256:80",
            "999.999.999.999:80",
            "10.0.0:80",
            "host:80",
            "::1:80",
            ":80",
            "")) {
      assertThat(UpstreamAddress.isValid(address)).as(address).isFalse();
    }
  }

  @Property(tries = 500, seed = "7501")
  void anyTextIsCheckedWithoutException(@ForAll String address) {
    assertThat(UpstreamAddress.isValid(address)).isFalse();
  }
}
