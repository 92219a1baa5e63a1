# What daemons say to each other beside requests. The Rust module is generated from this file with
# `capnp compile -orust:src/control --src-prefix=schema schema/control.capnp` in crates/wire, and
# committed. Fields are only ever added, so that daemons of two versions understand each other while
# a roll-out is under way.
@0xd2d1c6a94b1f7e35;

struct Address {
  port @0 :UInt16;
  union {
    v4 @1 :UInt32;
    v6 :group {
      high @2 :UInt64;
      low @3 :UInt64;
    }
  }
}

struct Change {
  id @0 :Address;
  start @1 :UInt64;
  refutation @2 :UInt32;
  dataCentre @3 :Text;
  state :union {
    alive @4 :Void;
    suspect @5 :Void;
    dead @6 :Void;
    left @7 :Void;
    leftTo @8 :Address;
  }
}

struct Version {
  revision @0 :UInt64;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
}

struct Fact {
  version @0 :UInt64;
  renewal @1 :UInt32;
  lifeMs @2 :UInt32;
  key :union {
    leaving @3 :Address;
    suspect @4 :UInt64;
    indexVersion @5 :Text;
  }
}

struct Message {
  from @0 :Address;
  start @1 :UInt64;
  refutation @2 :UInt32;
  bucket @3 :UInt8;
  hash @4 :UInt64;
  dataCentre @5 :Text;
  changes @6 :List(Change);
  configuration @7 :Version;
  facts @8 :List(Fact);
}

interface Control {
  probe @0 (message :Message) -> (message :Message);
}
