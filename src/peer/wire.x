/* Messages between VMs. Each travels sealed as the argument of the one procedure, which
   sends no reply: an answer is a message of its own. */

const KCP_WIRE_ID_MAX = 64;
const KCP_WIRE_ADDRESS_MAX = 46;
const KCP_WIRE_INCARNATION_MAX = 40;
const KCP_WIRE_FACTS_MAX = 64;
const KCP_WIRE_BUCKETS = 64;
const KCP_WIRE_CHUNK_MAX = 1024;
const KCP_WIRE_BOX_MAX = 2048;
const KCP_WIRE_NONCE = 24;

struct kcp_wire_place {
  string data_center<KCP_WIRE_ID_MAX>;
  string address<KCP_WIRE_ADDRESS_MAX>;
  unsigned int port;
};

struct kcp_wire_load {
  hyper running;
  hyper waiting;
};

struct kcp_wire_config {
  unsigned hyper number;
  unsigned hyper digest;
  bool loaded;
};

union kcp_wire_payload switch (unsigned int kind) {
case 0:
  kcp_wire_place vm;
case 1:
  kcp_wire_config config;
case 2:
  string incarnation<KCP_WIRE_INCARNATION_MAX>;
case 4:
  kcp_wire_load load;
default:
  void;
};

struct kcp_wire_fact {
  string id<KCP_WIRE_ID_MAX>;
  unsigned hyper number;
  unsigned hyper state;
  hyper expires_ms;
  kcp_wire_payload payload;
};

struct kcp_wire_probe {
  unsigned hyper number;
  string target<KCP_WIRE_ID_MAX>;
  hyper config_age_ns;
  unsigned hyper facts;
};

struct kcp_wire_digest {
  bool answer;
  unsigned hyper buckets[KCP_WIRE_BUCKETS];
};

struct kcp_wire_pull {
  unsigned hyper number;
  unsigned hyper since;
  unsigned int first;
  unsigned int count;
};

struct kcp_wire_chunk {
  unsigned hyper number;
  unsigned hyper snapshot;
  unsigned int total;
  unsigned int index;
  opaque data<KCP_WIRE_CHUNK_MAX>;
};

union kcp_wire_body switch (unsigned int kind) {
case 0:
case 1:
case 2:
  kcp_wire_probe probe;
case 3:
  void;
case 4:
  kcp_wire_digest digest;
case 5:
  kcp_wire_pull pull;
case 6:
  kcp_wire_chunk chunk;
};

struct kcp_wire_message {
  string from<KCP_WIRE_ID_MAX>;
  string to<KCP_WIRE_ID_MAX>;
  unsigned hyper from_session;
  unsigned hyper to_session;
  unsigned hyper sequence;
  unsigned hyper stamp;
  kcp_wire_body body;
  kcp_wire_fact facts<KCP_WIRE_FACTS_MAX>;
};

struct kcp_wire_sealed {
  opaque nonce[KCP_WIRE_NONCE];
  opaque box<KCP_WIRE_BOX_MAX>;
};

program KCP_PEER_PROGRAM {
  version KCP_PEER_VERSION {
    void KCP_PEER_MESSAGE (kcp_wire_sealed) = 1;
  } = 1;
} = 0x20004b43;
