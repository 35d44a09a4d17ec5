package ambertrestle.lab;

/** The testbed on which a scenario runs. */
enum RunMode {
    /** Simulated relays, backends and clients in this process, in virtual time. */
    MODEL,
    /** Real relay processes on loopback, with backends and clients in this process, in real time. */
    SOCKETS
}
