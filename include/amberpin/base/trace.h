/* Static tracepoints (USDT) for perf, bpftrace and SystemTap: docs/operators/tracing.md lists them. A
 * tracepoint is one no-op instruction until a tracer attaches to it. Without AMB_TRACEPOINTS (a build option,
 * off by default) no tracepoints are compiled in, and the arguments are not evaluated. */
#ifndef AMBERPIN_TRACE_H
#define AMBERPIN_TRACE_H

#ifdef AMB_TRACEPOINTS
#include <sys/sdt.h>
#define AMB_TRACE3(name, a, b, c) DTRACE_PROBE3(amberpin, name, a, b, c)
#define AMB_TRACE4(name, a, b, c, d) DTRACE_PROBE4(amberpin, name, a, b, c, d)
#else
#define AMB_TRACE3(name, a, b, c)                                                                            \
    do {                                                                                                     \
        (void)sizeof(a), (void)sizeof(b), (void)sizeof(c);                                                   \
    } while (0)
#define AMB_TRACE4(name, a, b, c, d)                                                                         \
    do {                                                                                                     \
        (void)sizeof(a), (void)sizeof(b), (void)sizeof(c), (void)sizeof(d);                                  \
    } while (0)
#endif

#endif
