/* Declarations shared by feed.c, feed_records.c and feed_relay.c. */
#ifndef KCP_FORWARD_FEED_PRIVATE_H
#define KCP_FORWARD_FEED_PRIVATE_H

#include "forward/feed.h"
#include "policy/entry_expiry.h"
#include "policy/topic_end.h"

/* The list drops the entry of a server that is silent for three heartbeats; one more
   allows for the delay of the reads. */
#define KCP_FEED_EXPIRY_HEARTBEATS 4

/* An entry that is read was mostly written within so many heartbeats. */
#define KCP_FEED_DELAY_HEARTBEATS 2

enum kcp_feed_reader_state
{
  KCP_FEED_LISTING, /* listing the newest record of each key */
  KCP_FEED_READING  /* reading the records after the listing */
};

/* The reader of one topic of the store. */
struct kcp_feed_reader
{
  struct kcp_feed *feed;
  enum kcp_store_topic topic;
  enum kcp_feed_reader_state state;
  int64_t next;           /* next offset to read */
  bool request_pending;   /* a call to the store is in progress */
  int64_t requested_from; /* offset of that call */
  int64_t listed_end;     /* end of the topic when the listing began */
  char *last_key;         /* last key listed so far */
  GHashTable *listed;     /* keys listed so far */
  bool first_listing;   /* the first listing since the process started is not complete */
  int64_t requested_ns; /* time of that call */
  int64_t listing_ns;   /* time of the first call of the listing */
  struct kcp_topic_end end;
  /* The records that are being applied were not written before this time. */
  int64_t not_before_ns;
  struct kcp_loop_timer timer; /* of the next request */
  /* Applies a record. Returns false if the record changes nothing. */
  bool (*apply) (struct kcp_feed *feed, const struct kcp_store_record *record);
};

/* Who waits for a read of the servers' list. */
struct kcp_feed_waiter
{
  kcp_feed_servers_read *done;
  void *user;
};

struct kcp_feed
{
  struct kcp_gateway *gateway;
  const struct kcp_store *store;
  kcp_feed_changed *changed;
  void *user;
  struct kcp_feed_reader operators;
  struct kcp_feed_reader servers;
  GArray *reading; /* struct kcp_feed_waiter, for which the servers' list is being read */
  GArray *waiting; /* those that have come since that call was sent */
  bool lists_copy; /* the servers' listing is that of an older copy */
  struct kcp_entry_expiry entry_expiry;
  struct kcp_loop_timer removal_timer;
};

/* feed.c */
void kcp_feed_request (void *user);

/* feed_waiters.c */
void kcp_feed_init_waiters (struct kcp_feed *feed);
void kcp_feed_clear_waiters (struct kcp_feed *feed);
void kcp_feed_begin_read (struct kcp_feed *feed);
bool kcp_feed_has_waiters (const struct kcp_feed *feed);
void kcp_feed_end_read (struct kcp_feed *feed, bool answered);

/* feed_records.c */
bool
kcp_feed_apply_operator (struct kcp_feed *feed, const struct kcp_store_record *record);
bool kcp_feed_apply_server (struct kcp_feed *feed, const struct kcp_store_record *record);
bool kcp_feed_remove_server (struct kcp_feed *feed, const char *id, int64_t at_ns);
void kcp_feed_remove_unlisted (struct kcp_feed *feed, GHashTable *listed);

/* feed_relay.c */
void kcp_feed_start_relay (struct kcp_feed *feed);
void kcp_feed_stop_relay (struct kcp_feed *feed);
int64_t kcp_feed_servers_interval_ms (const struct kcp_feed *feed);
void
kcp_feed_relay (struct kcp_feed *feed, int64_t from, int64_t next, const GArray *changes);

#endif
