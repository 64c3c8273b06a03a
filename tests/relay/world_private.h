/**
 * DOC: world_private - state shared by the parts of the simulation
 *
 * world.c advances the clock and injects faults; world_net.c delivers
 * messages; world_callers.c simulates callers, world_hosts.c agents and
 * endpoints, world_balancers.c balancers and their configuration,
 * world_evacuations.c the store and evacuations.
 */
#ifndef SWIFTARCH_TESTS_RELAY_WORLD_PRIVATE_H
#define SWIFTARCH_TESTS_RELAY_WORLD_PRIVATE_H

#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"
#include "relay/world.h"

#define STEP_US (500)
#define FAULT_INTERVAL_US (10 * USEC_PER_MSEC)
#define FAULT_FREE_US (1500 * USEC_PER_MSEC)
#define FLOWS_MAX 4096
#define ROUTES 4
#define VERSIONS_MAX 256
#define CALLER_ABANDON_US (4000 * USEC_PER_MSEC)
#define ENDPOINT_CAPACITY 10
#define REQUEST_WORK_US (15 * USEC_PER_MSEC)
#define RESTART_US (200 * USEC_PER_MSEC)
#define FREEZE_US (300 * USEC_PER_MSEC)
#define PARTITION_MIN_MS 1500
#define PARTITION_MAX_MS 4000

/* Resets of a host's open flows are allowed until this long after its
 * partition. */
#define PARTITION_GRACE_US (4000 * USEC_PER_MSEC)
#define LOCAL_DELAY_US 50
#define CONFIRM_DELAY_US (4 * USEC_PER_MSEC)
#define STARTUP_RESET_US (100 * USEC_PER_MSEC)
#define STALL_US (40 * USEC_PER_MSEC)
#define HEARTBEAT_US (100 * USEC_PER_MSEC)
#define PROBE_MAX_US 3000

/* An endpoint without a listener while it starts has none for this long. */
#define LISTENS_AFTER_US (20 * USEC_PER_MSEC)

/* A violation: this many packets in a row reach other endpoints than the
 * flow's, for longer than MISROUTED_US. */
#define MISROUTED_MAX 3
#define MISROUTED_US (1000 * USEC_PER_MSEC)
#define RETRANSMITS_MAX 8

/* Bound for the reset of an orphaned flow, from SETTLED_US after the last
 * fault: two orphan queries and a read of the store. */
#define ORPHAN_REPORT_US (100 * USEC_PER_MSEC)

/* Bound for the propagation of an evacuation, or of its end, to all hosts. A
 * host that has just started receives evacuations with the first frames of
 * others, within STARTUP_SYNC_US. */
#define EVACUATION_BOUND_US (1000 * USEC_PER_MSEC)
#define STARTUP_SYNC_US (300 * USEC_PER_MSEC)
#define SETTLED_US (300 * USEC_PER_MSEC)

/* How long evacuations of an earlier epoch of the store stay in force. */
#define OLD_EPOCH_US (10 * USEC_PER_SEC)

/* Delay until objects that the store has lost are written again. */
#define REWRITE_MIN_MS 100
#define REWRITE_MAX_MS 4000
#define REGISTRATION_CHECK_US (20 * USEC_PER_MSEC)
#define SNAPSHOT_US (700 * USEC_PER_MSEC)

/** enum target - receiver of a message */
enum target {
    TO_BALANCER,
    TO_BALANCER_FRAME,
    TO_AGENT,
    TO_ENDPOINT,
    TO_OUTBOUND,
    TO_CALLER
};

/**
 * struct message - a packet or frame in flight
 * @due_us: arrival time
 * @order: sequence number, breaks ties of @due_us
 * @number: index of the receiver among those of its kind
 */
struct message {
    uint64_t due_us;
    uint64_t order;
    enum target target;
    unsigned number;
    size_t size;
    uint8_t bytes[FRAME_MAX];
};

/* Size of a request and of an answer, in bytes. */
#define REQUEST_LEN 40
#define ANSWER_LEN 900

/**
 * struct endpoint_flow - an endpoint's state of a flow
 * @requests_started: requests started so far
 * @seq: initial sequence number of the endpoint
 * @answer_us: when the running request is answered, 0 for none
 */
struct endpoint_flow {
    bool open;
    unsigned requests_started;
    uint32_t seq;
    uint64_t answer_us;
};

struct world;

/**
 * struct host - an agent and its endpoint
 * @draining_reported: the agent has received a heartbeat with @draining
 * @drops_from: the partition drops frames from the agent to balancers
 * @drops_to: the partition drops frames from balancers to the agent
 * @sequence: number of the next heartbeat
 * @fault_us: time of the last fault, or end of a freeze
 * @registered_service: service in the agent's object in the store
 * @registration_version: counts changes of that object
 * @registration_us: when the agent writes its object, 0 for never
 * @unregistered_until_us: when the agent restores a lost object, 0 if present
 * @probe_due_us: when the result of the agent's probe comes, 0 for no probe
 * @probe_refused: that probe found no listener
 */
struct host {
    struct admission_out out;
    struct world *world;
    unsigned number;
    struct admission admission;
    struct addr addr;
    unsigned service;
    unsigned incarnation;
    bool up;
    bool draining;
    bool draining_reported;
    uint64_t restart_us;
    uint64_t frozen_until_us;
    uint64_t partitioned_until_us;
    bool drops_from;
    bool drops_to;
    uint64_t heartbeat_us;
    uint64_t sequence;
    uint64_t fault_us;
    uint64_t started_us;
    unsigned registered_service;
    unsigned registration_version;
    uint64_t registration_us;
    uint64_t unregistered_until_us;
    uint64_t probe_due_us;
    bool probe_refused;
    uint32_t next_seq;
    struct endpoint_flow flows[FLOWS_MAX];
};

/**
 * struct balancer - a balancer and what it has read from the store
 * @version: configuration in force, an index into world.served
 * @config_due_us: when it receives the latest configuration
 * @stalled_until_us: earliest arrival of the frames that it sends
 * @confirm_us: start of the pending confirmation read, 0 for none
 * @evacuations_us: when it reads evacuations, 0 for none pending
 * @registration_versions: last version read of each agent's object
 * @registration_us: when it may read each agent's object
 */
struct balancer {
    struct forwarder_out out;
    struct world *world;
    unsigned number;
    struct forwarder forwarder;
    unsigned version;
    uint64_t config_due_us;
    uint64_t fault_us;
    uint64_t stalled_until_us;
    uint64_t confirm_us;
    uint64_t evacuations_us;
    unsigned registration_versions[WORLD_AGENTS];
    uint64_t registration_us[WORLD_AGENTS];
};

/** enum caller_state - phase of a caller's flow */
enum caller_state {
    CALLER_OPENING,
    CALLER_REQUESTING,
    CALLER_PAUSING,
    CALLER_CLOSING,
    CALLER_DONE
};

/**
 * struct caller - a caller with one flow
 * @active_since_us: start of the handshake, or end of the last pause
 * @next_us: time of the next retransmit, or end of a pause
 * @attempts: transmissions in the current phase
 * @host: host that accepted the flow, -1 before that
 * @incarnation: the endpoint's incarnation then
 * @version: latest configuration when the flow was opened
 * @misrouted: packets in a row that reached other endpoints
 * @misrouted_us: arrival of the first of them
 * @requests_answered: requests answered
 * @requests_started: requests started by an endpoint
 * @orphaned_us: first packet sent on the orphaned flow, 0 for none
 */
struct caller {
    enum caller_state state;
    struct relay_flow flow;
    unsigned route;
    uint64_t active_since_us;
    uint64_t next_us;
    unsigned attempts;
    uint32_t peer_seq;
    int host;
    unsigned incarnation;
    uint64_t open_us;
    unsigned version;
    unsigned misrouted;
    uint64_t misrouted_us;
    unsigned requests_answered;
    unsigned requests_started;
    uint64_t orphaned_us;
};

/**
 * struct world - state of a run
 * @query_rand: random numbers of orphan queries and of the store
 * @order: messages posted so far
 * @ecmp_salt: changes with each rehash
 * @traced: caller whose flow is traced, -1 for none
 * @versions: configurations published so far
 * @served: service of each route in each version, -1 for none
 * @fault_us: time of the last fault, or end of a freeze or partition
 * @evacuations_rand: random numbers of evacuations
 * @evacuations: evacuations in the store
 * @desired: evacuations set by operators, kept while the store has lost them
 * @snapshot: evacuations that the next restore brings back
 * @restored_us: last restore of the store, 0 for never
 * @store_lost_us: start of the last loss of evacuations, 0 for never
 * @rewrite_us: when operators write lost evacuations again, 0 for none due
 * @rewritten_us: when they last did, 0 for never
 * @evacuated_us: last change of each data centre's evacuation, 0 for never
 */
struct world {
    GRand *rand;
    GRand *query_rand;
    const struct world_plan *plan;
    struct world_result *result;
    uint64_t now_us;
    uint64_t order;
    GSequence *messages;
    struct host hosts[WORLD_AGENTS];
    struct balancer balancers[WORLD_BALANCERS];
    struct caller callers[FLOWS_MAX];
    unsigned caller_count;
    unsigned ecmp_salt;
    int traced;
    unsigned versions;
    int served[VERSIONS_MAX][ROUTES];
    uint64_t fault_us;
    GRand *evacuations_rand;
    struct evacuations evacuations;
    struct evacuations desired;
    struct evacuations snapshot;
    uint64_t restored_us;
    uint64_t store_lost_us;
    uint64_t rewrite_us;
    uint64_t rewritten_us;
    uint64_t evacuated_us[WORLD_DATA_CENTRES];
};

extern const char *const world_services[WORLD_SERVICES];

/** struct sim_packet - a packet in its decoded form, with its caller's number
 */
struct sim_packet {
    struct relay_packet head;
    unsigned caller;
};

/** world_chance() - draws true @in_1000 times in 1000 */
bool
world_chance(struct world *world, unsigned in_1000);

/** world_violation() - records the first violation, with the time */
void
world_violation(struct world *world, const char *fmt, ...);

/** world_packet_of() - decodes a struct sim_packet; points into @bytes */
struct relay_packet
world_packet_of(const uint8_t *bytes);

unsigned
world_caller_of(const uint8_t *bytes);

/** world_trace_init() - traces the flow that WORLD_TRACE=N names, if any */
void
world_trace_init(struct world *world);

/** world_trace() - prints a line with the time if a flow is traced */
void
world_trace(const struct world *world, const char *fmt, ...)
    G_GNUC_PRINTF(2, 3);

/** world_trace_flow() - prints a line about a flow if it is the traced one */
void
world_trace_flow(const struct world *world, struct relay_flow flow,
                 const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/** world_trace_message() - prints a message of the traced flow */
void
world_trace_message(const struct world *world, const struct message *message);

/** world_post() - sends a message, which may be lost unless @local */
void
world_post(struct world *world, enum target target, unsigned number,
           const void *bytes, size_t size, bool local);

/** world_is_partitioned() - whether frames from balancers to the agent are
 * dropped (@to_host), or frames from the agent to balancers */
bool
world_is_partitioned(const struct host *host, bool to_host);

/** world_post_delayed() - like world_post(), but arrives at @earliest_us or
 * later */
void
world_post_delayed(struct world *world, enum target target, unsigned number,
                   const void *bytes, size_t size, uint64_t earliest_us);

/** world_post_query() - like world_post_delayed() for orphan queries; draws
 * from query_rand, so that other datagrams' loss and delay don't depend on
 * queries */
void
world_post_query(struct world *world, enum target target, unsigned number,
                 const void *bytes, size_t size, uint64_t earliest_us);

/** world_post_packet() - sends a caller's packet, which may be lost unless
 * @local */
void
world_post_packet(struct world *world, enum target target, unsigned number,
                  unsigned caller, struct relay_packet head, bool local);

struct addr
world_host_addr(unsigned number);

struct addr
world_balancer_addr(unsigned number);

void
world_caller_fail(struct world *world, struct caller *caller);

/** world_check_reset() - checks that a reset flow isn't open at an endpoint,
 * and ends its caller; @sender is for the violation's text */
void
world_check_reset(struct world *world, struct relay_flow flow,
                  const char *sender);

/** world_caller_open() - opens a new flow to a random route */
void
world_caller_open(struct world *world);

/** world_caller_tick() - retransmits, or abandons the flow */
void
world_caller_tick(struct world *world, struct caller *caller);

void
world_caller_packet(struct world *world, unsigned number,
                    const uint8_t *bytes);

extern const struct admission_out_ops world_admission_ops;

void
world_endpoint_packet(struct host *host, const uint8_t *bytes);

/** world_endpoint_work() - answers requests that are done */
void
world_endpoint_work(struct host *host);

void
world_heartbeat(struct host *host);

void
world_endpoint_start(struct host *host);

void
world_agent_start(struct host *host);

extern const struct forwarder_out_ops world_forwarder_ops;

/** world_apply_config() - gives a balancer the routes of @version */
void
world_apply_config(struct balancer *balancer, unsigned version);

void
world_balancer_tick(struct balancer *balancer);

void
world_balancer_start(struct balancer *balancer);

/** world_data_centre() - name of the host's data centre */
const char *
world_data_centre(const struct world *world, const struct host *host);

/** world_evacuate() - starts or ends the evacuation of a random data centre */
void
world_evacuate(struct world *world);

/** world_store_snapshot() - saves the store's evacuations for a restore */
void
world_store_snapshot(struct world *world);

/** world_store_restore() - restores the snapshot in a new epoch, and loses
 * the objects of some agents */
void
world_store_restore(struct world *world);

/** world_store_tick() - writes lost evacuations and objects again when due */
void
world_store_tick(struct world *world);

/** world_evacuations_read() - a balancer reads evacuations from the store */
void
world_evacuations_read(struct balancer *balancer);

/** world_evacuations_schedule() - schedules that within 500 ms, if the
 * balancer is a store reader */
void
world_evacuations_schedule(struct balancer *balancer);

/** world_check_syn() - checks that an endpoint that gets a caller's SYN isn't
 * evacuated */
void
world_check_syn(struct host *host, unsigned caller);

/** world_check_refusal() - checks that an agent that refused a SYN as
 * evacuated still is, or may not have received the end yet */
void
world_check_refusal(struct host *host);

/** world_registration_changed() - an agent's object in the store changed;
 * schedules each balancer's read of it within 500 ms */
void
world_registration_changed(struct host *host);

/** world_registration_tick() - writes agents' objects that are due */
void
world_registration_tick(struct world *world);

/** world_change_config() - drops a random route or adds it again */
void
world_change_config(struct world *world);

/** world_move_route() - moves a random route to the other service; its open
 * flows keep their endpoints */
void
world_move_route(struct world *world);

/** world_served_at() - service of the packet's route in @version, -1 for none
 */
int
world_served_at(const struct world *world, unsigned version,
                const struct relay_packet *packet);

#endif
