"""Delays of simulated messages."""

from random import Random

import msgspec

from drumbay.simulation.host import Location


class LatencyModel(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays by distance, with jitter, loss, duplication and reordering.

    Attributes:
        same_zone_seconds: Delay within a zone.
        same_region_seconds: Delay between zones of one region.
        between_regions_seconds: Delay between regions.
        jitter_share: Mean of the exponential jitter, as a share of the delay.
        loss_probability: Probability that a datagram is lost or a call is retransmitted.
        duplicate_probability: Probability that a datagram arrives twice.
        reorder_probability: Probability that a message is delayed beyond later ones.
        reorder_delay_seconds: Maximum of this extra delay.
        retransmission_delay_seconds: Extra delay of a retransmitted call.
    """

    same_zone_seconds: float = 0.0002
    same_region_seconds: float = 0.0005
    between_regions_seconds: float = 0.005
    jitter_share: float = 0.2
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    reorder_probability: float = 0.0
    reorder_delay_seconds: float = 0.05
    retransmission_delay_seconds: float = 0.2

    def base_seconds(self, source: Location, target: Location) -> float:
        """Return the delay without jitter."""
        if source.region != target.region:
            return self.between_regions_seconds
        if source.zone != target.zone:
            return self.same_region_seconds
        return self.same_zone_seconds

    def draw_seconds(self, random: Random, source: Location, target: Location) -> float:
        """Draw the delay of one message."""
        delay = self.base_seconds(source, target)
        delay += delay * self.jitter_share * random.expovariate(1.0)
        if random.random() < self.reorder_probability:
            delay += random.uniform(0.0, self.reorder_delay_seconds)
        return delay

    def degraded(
        self,
        *,
        delay_factor: float,
        loss_probability: float,
        duplicate_probability: float,
        reorder_probability: float,
    ) -> "LatencyModel":
        """Return this model with longer delays and at least these probabilities."""
        return msgspec.structs.replace(
            self,
            same_zone_seconds=self.same_zone_seconds * delay_factor,
            same_region_seconds=self.same_region_seconds * delay_factor,
            between_regions_seconds=self.between_regions_seconds * delay_factor,
            loss_probability=max(self.loss_probability, loss_probability),
            duplicate_probability=max(self.duplicate_probability, duplicate_probability),
            reorder_probability=max(self.reorder_probability, reorder_probability),
        )
