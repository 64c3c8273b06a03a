#include "script.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "scene.h"

#define WORDS_MAX 10

/**
 * struct step - a line of a session
 * @scene: scene to act on
 * @folder: folder of the configs to publish
 * @words: words of the line
 * @count: number of words
 */
struct step {
    struct scene *scene;
    const char *folder;
    char **words;
    int count;
};

static int
host_of(const struct step *step, int word)
{
    int host = -1;

    if (word < step->count) {
        host = scene_find(step->scene, step->words[word]);
    }
    if (host < 0) {
        g_error("%s: unknown or missing host", step->words[0]);
    }
    return host;
}

static uint64_t
number_of(const struct step *step, int word)
{
    guint64 number = 0;

    if (word >= step->count ||
        !g_ascii_string_to_unsigned(step->words[word], 10, 0, UINT32_MAX,
                                    &number, NULL)) {
        g_error("%s: invalid or missing number", step->words[0]);
    }
    return number;
}

static void
do_at(const struct step *step)
{
    uint64_t at_us = number_of(step, 1) * USEC_PER_MSEC;

    scene_run_to(step->scene, step->scene->origin_us + at_us);
}

static void
do_start(const struct step *step)
{
    scene_start(step->scene, step->words[1], step->words[2]);
}

static void
do_settle(const struct step *step)
{
    struct scene *scene = step->scene;

    scene->muted = true;
    scene_run_to(scene, scene_now(scene) + number_of(step, 1) * USEC_PER_SEC);
    scene->muted = false;
    scene->quiet_count = 0;
    scene->origin_us = scene_now(scene);
}

static void
do_packet(const struct step *step)
{
    const char *what = step->words[4];
    struct addr from;
    struct addr to;
    uint8_t flags = PACKET_TCP_ACK;

    g_assert_cmpint(step->count, ==, 7);
    g_assert_cmpint(addr_parse(step->words[1], &from), ==, 0);
    g_assert_cmpint(addr_parse(step->words[3], &to), ==, 0);
    struct packet key = {
        .src = from.ip, .dst = to.ip, .sport = from.port, .dport = to.port};
    if (strcmp(what, "SYN") == 0) {
        flags = PACKET_TCP_SYN;
    }
    else if (strcmp(what, "RST") == 0) {
        flags |= PACKET_TCP_RST;
    }
    bool bare = flags != PACKET_TCP_ACK || strcmp(what, "ACK") == 0;
    bool again = strcmp(what, "again") == 0;
    scene_packet(step->scene, &key, flags, again ? NULL : (bare ? "" : what),
                 host_of(step, 6));
}

static void
set_state(struct scene *scene, int host, enum member_state state)
{
    scene->hosts[host].state = state;
    scene_refresh(scene, host);
    scene_control_step(scene, host);
}

/* Steps that have a host as their only argument. */
static void
do_host(const struct step *step)
{
    struct scene *scene = step->scene;
    const char *what = step->words[0];
    int host = host_of(step, 1);

    if (strcmp(what, "kill") == 0) {
        scene_kill(scene, host);
    }
    else if (strcmp(what, "freeze") == 0) {
        scene->hosts[host].frozen = true;
    }
    else if (strcmp(what, "thaw") == 0) {
        scene_thaw(scene, host);
    }
    else if (strcmp(what, "hold") == 0) {
        scene->hosts[host].manual_upstream = true;
    }
    else if (strcmp(what, "release") == 0) {
        scene->hosts[host].manual_upstream = false;
    }
    else {
        set_state(scene, host,
                  what[0] == 'd' ? MEMBER_DRAINING : MEMBER_READY);
    }
}

static void
do_rule(const struct step *step)
{
    struct scene_rule *rule = g_new0(struct scene_rule, 1);

    g_assert_cmpint(step->count, >=, 5);
    rule->count = (unsigned)number_of(step, 1);
    rule->kind = g_strdup(step->words[2]);
    rule->from = g_strdup(step->words[3]);
    rule->to = g_strdup(step->words[4]);
    if (strcmp(step->words[0], "delay") == 0) {
        rule->delay_us = number_of(step, 5) * USEC_PER_MSEC;
    }
    g_queue_push_tail(&step->scene->rules, rule);
}

static void
do_heal(const struct step *step)
{
    scene_clear_rules(step->scene);
}

static void
do_upstream_end(const struct step *step)
{
    static const char *const ways[] = {"answered", "refused", "unreached",
                                       "lost", "short"};
    int host = host_of(step, 1);
    uint64_t id = number_of(step, 2);

    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        if (strcmp(step->words[3], ways[i]) == 0) {
            struct scene_message *end =
                scene_send(step->scene, SCENE_RUN_END, host, host, NULL, NULL);
            end->a = id;
            end->status = (int)i;
            return;
        }
    }
    g_error("upstream-end: unknown way to end: %s", step->words[3]);
}

static void
do_outage(const struct step *step)
{
    step->scene->outage = strcmp(step->words[1], "on") == 0;
    if (step->scene->outage) {
        scene_platform_tick(step->scene, true);
    }
}

static void
do_publish(const struct step *step)
{
    int at = step->words[1][0] - 'a';
    struct scene_apply *run = &step->scene->operators[at];
    g_autofree char *path =
        g_build_filename(step->folder, step->words[2], NULL);
    char *write_id =
        g_strdup_printf("%032x", run->call * 16 + 10 + (unsigned)at);
    GError *error = NULL;

    g_free(run->source);
    g_file_get_contents(path, &run->source, NULL, &error);
    g_assert_no_error(error);
    g_strstrip(run->source);
    g_strlcpy(run->author, step->words[1], sizeof(run->author));
    if (run->last_value != NULL) {
        g_bytes_unref(run->last_value);
        run->last_value = NULL;
    }
    scene_apply_step(step->scene, at,
                     apply_core_start(&run->core, write_id, NULL));
    g_free(write_id);
}

static void
show_host(struct scene *scene, int i)
{
    const struct scene_host *host = &scene->hosts[i];
    g_autoptr(GString) others = g_string_new(NULL);
    size_t half_open = 0;
    unsigned alive = 0;

    for (size_t n = 0; host->up && n < host->view->count; n++) {
        const struct view_member *member = &host->view->members[n];

        if (member->health == MEMBER_ALIVE) {
            alive++;
        }
        else {
            g_string_append_printf(others, ", %s %s", member->name,
                                   member->health == MEMBER_DEAD ? "dead"
                                                                 : "suspect");
        }
    }
    if (!host->up) {
        scene_log(scene, "  %s: not running", host->name);
    }
    else if (!host->agent) {
        scene_log(scene, "  %s: version %u, sees %u alive%s", host->name,
                  (unsigned)host->config.have, alive, others->str);
    }
    else {
        scene_log(scene,
                  "  %s: version %u, flows %zu, busy %u, waiting %u, open %u,"
                  " sees %u alive%s",
                  host->name, (unsigned)host->config.have,
                  flow_count(host->flows, &half_open),
                  engine_busy(host->engine), engine_waiting(host->engine),
                  engine_open_requests(host->engine), alive, others->str);
    }
}

static void
do_show(const struct step *step)
{
    for (int i = 0; i < step->scene->count; i++) {
        show_host(step->scene, i);
    }
}

static const struct {
    const char *name;
    int words;
    void (*run)(const struct step *step);
} commands[] = {
    {"at", 2, do_at},
    {"start", 2, do_start},
    {"settle", 2, do_settle},
    {"packet", 7, do_packet},
    {"kill", 2, do_host},
    {"freeze", 2, do_host},
    {"thaw", 2, do_host},
    {"drain", 2, do_host},
    {"undrain", 2, do_host},
    {"lose", 5, do_rule},
    {"delay", 6, do_rule},
    {"heal", 1, do_heal},
    {"hold", 2, do_host},
    {"release", 2, do_host},
    {"upstream-end", 4, do_upstream_end},
    {"outage", 2, do_outage},
    {"publish", 3, do_publish},
    {"show", 1, do_show},
};

static void
play_line(struct scene *scene, const char *folder, const char *line)
{
    struct step step = {.scene = scene, .folder = folder};

    scene_log_quiet(scene);
    g_string_append_printf(scene->log, "%s%s\n", line[0] == '#' ? "" : "> ",
                           line);
    if (line[0] == '#') {
        return;
    }
    g_assert_true(g_shell_parse_argv(line, &step.count, &step.words, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(step.words[0], commands[i].name) == 0 &&
            step.count >= commands[i].words) {
            commands[i].run(&step);
            g_strfreev(step.words);
            return;
        }
    }
    g_error("unknown step or too few words: %s", line);
}

char *
script_play(const char *script, const char *folder)
{
    g_auto(GStrv) lines = g_strsplit(script, "\n", -1);
    struct scene scene;
    char *log;

    scene_init(&scene);
    for (size_t i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0') {
            play_line(&scene, folder, lines[i]);
        }
    }
    scene_log_quiet(&scene);
    log = g_strdup(scene.log->str);
    scene_finish(&scene);
    return log;
}
