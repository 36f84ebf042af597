//! Number identifiers.

use super::macros::number_identifier;

number_identifier!(/// Identifies one attempt to run a request on a back end; the back end echoes it.
    AttemptId(u128));
number_identifier!(/// Rises each time a back end process starts; its cache is empty then.
    Incarnation(u64));
number_identifier!(/// Version of the weights a pool serves.
    WeightsVersion(u64));
number_identifier!(/// Version of the whole configuration; it only rises.
    ConfigVersion(u64));
number_identifier!(/// Version of one resource: the configuration version that last changed it.
    ResourceVersion(u64));
number_identifier!(/// Number of a lease; a back end refuses orders with an older one.
    FencingNumber(u64));
