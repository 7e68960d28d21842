@0xb7d1c5a46e3f9021;
# The body of a datagram between instances. Times are wall-clock times in
# milliseconds since the Unix epoch.

struct Datagram {
  incarnation @0 :UInt64;
  offset @1 :Int64;
  bestOffset @2 :Int64;
  boot @3 :UInt64;
  sequence @4 :UInt64;
  sentAtMs @5 :UInt64;
  probeId @6 :UInt32;
  kind @7 :UInt8;
  senderUnknown @8 :Bool;
  senderId @9 :Text;
  bestHolder @10 :Text;
  cursor @11 :Text;
  subject @12 :Member;
  members @13 :List(Member);
  leaving @14 :List(Leaving);
  reports @15 :List(Report);
  leavingDigest @16 :UInt64;
}

struct Member {
  incarnation @0 :UInt64;
  port @1 :UInt16;
  state @2 :UInt8;
  memberId @3 :Text;
  zone @4 :Text;
  host @5 :Text;
}

struct Leaving {
  incarnation @0 :UInt64;
  targetId @1 :Text;
  ageS @2 :UInt32;
}

struct Report {
  incarnation @0 :UInt64;
  measuredAtMs @1 :UInt64;
  memoryUsedTokens @2 :UInt32;
  memoryTotalTokens @3 :UInt32;
  running @4 :UInt16;
  waiting @5 :UInt16;
  state @6 :UInt8;
  targetId @7 :Text;
}
