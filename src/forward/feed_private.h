/* What the files of the feed share. */
#ifndef KCP_FORWARD_FEED_PRIVATE_H
#define KCP_FORWARD_FEED_PRIVATE_H

#include "forward/feed.h"
#include "policy/entry_expiry.h"

enum kcp_follow_state
{
  KCP_FOLLOW_LISTING, /* reads the newest record of each key */
  KCP_FOLLOW_READING  /* reads on behind the listing */
};

/* One topic that is followed. */
struct kcp_follow
{
  struct kcp_feed *feed;
  enum kcp_store_topic topic;
  enum kcp_follow_state state;
  int64_t next;       /* offset to be read next */
  bool asking;        /* a call is under way */
  int64_t asked_from; /* its offset */
  int64_t listed_end; /* the topic's end when the listing began */
  char *last_key;     /* of the listing so far */
  GHashTable *listed; /* keys of the listing so far */
  bool first_listing; /* since the process started */
  int64_t asked_ns;
  struct kcp_loop_timer timer;
  /* Returns false if the record says nothing new. */
  bool (*apply) (struct kcp_feed *feed, const struct kcp_store_record *record);
};

struct kcp_feed
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  kcp_feed_changed *changed;
  void *user;
  struct kcp_follow operator_;
  struct kcp_follow servers;
  struct kcp_entry_expiry entry_expiry;
  struct kcp_loop_timer gone;
};

/* feed.c */
void kcp_follow_ask (void *user);
bool kcp_feed_apply_server (struct kcp_feed *feed, const struct kcp_store_record *record);
bool kcp_feed_remove_server (struct kcp_feed *feed, const char *id, int64_t at_ns);

/* feed_relay.c */
void kcp_feed_start_relay (struct kcp_feed *feed);
void kcp_feed_stop_relay (struct kcp_feed *feed);
int64_t kcp_feed_servers_wait_ms (const struct kcp_feed *feed);
void
kcp_feed_relay (struct kcp_feed *feed, int64_t from, int64_t next, const GArray *news);

#endif
