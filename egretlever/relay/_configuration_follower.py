"""Follower of the configuration, from other nodes or from the store."""

import random

import curio
from returns.result import Failure

from egretlever.core import Address, Seconds, Version, make_log
from egretlever.placement import SourceSelector
from egretlever.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    RowStore,
    StoredRow,
    decode_configuration,
)
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import Position, SharedTable, TableChange
from egretlever.relay._configuration import ConfigurationHolder
from egretlever.relay._freshness import Freshness, ReadTimes
from egretlever.relay._links import LinkPool
from egretlever.relay._sharing import TableSharing
from egretlever.relay._sharing_limits import SharingLimits
from egretlever.relay._store_calls import log_state
from egretlever.relay._table_follower import TableFollower
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")
# Shares of the time in which a configuration has to be in force:
# Configurations that are written within this time are read together.
_BATCH_SHARE = 0.35
# Timeout of a long poll. An answer that the store loses goes unnoticed until
# then.
_POLL_TIMEOUT_SHARE = 0.75
# Silence after which the node that is followed is checked, and the time in
# which it has to acknowledge that it is followed.
_SILENCE_SHARE = 0.25
_FIRST_CHANGE_SHARE = 0.25
# Time after which a node without a source tells its followers.
_DOUBT_SHARE = 0.1
# Nodes that are tried before the store is read, while time is left.
_MAX_SOURCES_TRIED = 4
# Time in which a starting node reads the directory, unless the store is
# unavailable.
_DIRECTORY_TIMEOUT = Seconds(0.5)
_SOURCE_CHECK_INTERVAL = 1.0  # seconds


class ConfigurationFollower:
    """Keeps the newest configuration in force.

    The changes come from the node that this one follows, or from the store when
    there is none. They are passed on to the nodes that follow this one.

    Parameters
    ----------
    store : RowStore
        The store.
    holder : ConfigurationHolder
        Holds the configuration in force.
    sharing : TableSharing
        Changes of the configuration from and for other nodes.
    rng : random.Random
        Source of jitter.
    in_force_within : Seconds
        Time in which a new configuration has to be in force.
    freshness : Freshness
        Knows the age of what this node knows.

    Attributes
    ----------
    sharing : TableSharing
        The given sharing.
    """

    def __init__(
        self,
        store: RowStore,
        holder: ConfigurationHolder,
        sharing: TableSharing,
        rng: random.Random,
        in_force_within: Seconds,
        freshness: Freshness,
    ) -> None:
        self._holder = holder
        self._freshness = freshness
        self.sharing = sharing
        self._poll_timeout = Seconds(_POLL_TIMEOUT_SHARE * in_force_within)
        # Changes that were read from the store and not passed on yet.
        self._changes: list[TableChange] = []
        self._read_times: ReadTimes | None = None
        self._table = TableFollower(
            store,
            CONFIGURATION_TABLE,
            self._apply_rows,
            self._apply_rows,
            Seconds(_BATCH_SHARE * in_force_within),
            rng,
            report_failure=sharing.publish_failure,
        )

    @property
    def synced(self) -> bool:
        """Whether the store, or a node that follows it, was read once."""
        return self._table.synced or self.sharing.received

    async def wait_while_failing(self) -> None:
        """Wait until the latest calls of the store have succeeded."""
        await self._table.wait_while_failing()

    async def wait_for_recovery(self) -> None:
        """Wait until the store is found to be back after a failure."""
        await self._table.wait_for_recovery()

    async def follow_forever(self, directory: TableFollower) -> None:
        """Follow the configuration until cancelled.

        Parameters
        ----------
        directory : TableFollower
            Follower of the directory, which names the nodes to follow.
        """
        await curio.ignore_after(_DIRECTORY_TIMEOUT, directory.wait_synced())
        while True:
            change = await self.sharing.receive(self._holder.version)
            if change is None:
                await self._read_store()
                continue
            applied = self._holder.apply(change, self.sharing.source)
            if applied is None and change.base > 0:
                await self.sharing.restart("change leads from another version")
                continue
            if applied is None:
                await self._read_store()
                continue
            if not change.timed:
                self._freshness.forget()
            elif change.position is not None:
                position = change.position
                self._advance(Position(position.as_of, position.hops + 1))
            await self._table.end_failure("changes come from another node")
            await self.sharing.publish(applied)

    async def _read_store(self) -> None:
        if not self.sharing.confirmed:
            # The nodes that follow this one wait to hear whether it can.
            await self._table.probe()
            if self._table.failing:
                return
            await self.sharing.confirm_unless_outdated()
        self._read_times = None
        if self.sharing.has_source():
            await self._poll()
        else:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._poll)
                await group.spawn(self._await_source)
            if group.exception is not None:
                raise group.exception
        changes, self._changes = self._changes, []
        if self._read_times is not None:
            position = self._freshness.find_read_position(self._read_times)
            version = self._holder.version
            # Only the last change leads to the position of the answer.
            last = changes.pop() if changes else TableChange(version, version)
            for change in changes:
                await self.sharing.publish(change)
            self._advance(position)
            changes = [last]
        for change in changes:
            await self.sharing.publish(change)

    async def _poll(self) -> None:
        self._read_times = await self._table.follow_once(
            self._find_poll_time, self._poll_timeout
        )

    def _find_poll_time(self, now: Seconds) -> Seconds:
        """Return the duration of a poll; shorter ones are paid for others."""
        if self.sharing.has_subscribers or self._freshness.is_outdated(
            self._freshness.position, now
        ):
            return self._freshness.find_poll_time(now)
        return self._freshness.poll_time

    def _advance(self, position: Position) -> None:
        """Record up to when the configuration is known to be the newest."""
        late_age = self._freshness.advance(position, read_clock())
        metrics.CONFIGURATION_HOPS.set(position.hops)
        if late_age is not None:
            _LOG.event(
                logs_pb2.StateLine(
                    event="configuration-late",
                    subject="config",
                    address=self.sharing.source if position.hops else "",
                    age_s=round(late_age, 4),
                    hops=position.hops,
                )
            )

    async def _await_source(self) -> None:
        """Wait for a node to follow."""
        while not self.sharing.has_source():
            await curio.sleep(_SOURCE_CHECK_INTERVAL)

    def _apply_rows(
        self, rows: list[StoredRow] | tuple[StoredRow, ...], _: Version
    ) -> None:
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.removed:
                continue
            result = decode_configuration(row.value)
            if isinstance(result, Failure):
                # The previous version stays in effect.
                for finding in result.failure():
                    log_state(
                        "configuration-refused", row.key, reason=str(finding)
                    )
                continue
            configuration = result.unwrap()
            for finding in configuration.omissions:
                log_state(
                    "configuration-entry-omitted",
                    row.key,
                    f"{configuration.version:08x}",
                    str(finding),
                )
            change = self._holder.replace(configuration)
            if change is not None:
                self._changes.append(change)


def make_configuration_follower(
    store: RowStore,
    holder: ConfigurationHolder,
    own_relay: Address,
    sources: SourceSelector,
    links: LinkPool,
    rng: random.Random,
    in_force_within: Seconds,
) -> ConfigurationFollower:
    """Make the follower of the configuration, and its sharing.

    Parameters
    ----------
    store : RowStore
        The store.
    holder : ConfigurationHolder
        Holds the configuration in force.
    own_relay : Address
        Relay address of this node.
    sources : SourceSelector
        Chooses the node to follow.
    links : LinkPool
        Connections to the other nodes.
    rng : random.Random
        Source of jitter.
    in_force_within : Seconds
        Time in which a new configuration has to be in force.
    """
    freshness = Freshness(in_force_within)
    metrics.CONFIGURATION_AGE.set_function(
        lambda: freshness.measure_age(read_clock()) or 0.0
    )
    sharing = TableSharing(
        SharedTable.CONFIGURATION,
        own_relay,
        sources,
        links,
        holder.describe,
        SharingLimits(
            _MAX_SOURCES_TRIED,
            Seconds(_FIRST_CHANGE_SHARE * in_force_within),
            Seconds(_SILENCE_SHARE * in_force_within),
            Seconds(_DOUBT_SHARE * in_force_within),
        ),
        freshness,
        store.eras,
    )
    return ConfigurationFollower(
        store, holder, sharing, rng, in_force_within, freshness
    )
