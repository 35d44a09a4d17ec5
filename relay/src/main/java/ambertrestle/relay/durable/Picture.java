package ambertrestle.relay.durable;

import ambertrestle.decide.Kept;
import ambertrestle.relay.wire.RosterMessage;

/**
 * All that is kept of one relay at one moment; what a file holds. `rosterAt`: the roster service whose versions the list's is
 * one of; `heardAt`: when that service last said that the list stands; `keptAt`: when this was taken. Times in nanoseconds,
 * Unix time; 0 for never.
 */
public record Picture(String relay, String rosterAt, long keptAt, long heardAt, RosterMessage roster, Kept kept) { }
