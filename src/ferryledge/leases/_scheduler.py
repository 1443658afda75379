"""Which waiting jobs get room and when, and which are refused."""

from collections import abc
import functools
import random

from ferryledge.leases import _admission
from ferryledge.leases import _arrivals
from ferryledge.leases import _entry_notes
from ferryledge.leases import _forecast
from ferryledge.leases import _job_ranking
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _late_jobs
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _pool_share
from ferryledge.leases import _run_tracker
from ferryledge.leases import _uplink
from ferryledge.leases import _urgency_reports
from ferryledge import outcomes
from ferryledge import wire

_NEVER = float("inf")

Refusals = abc.Iterator[tuple[_jobs.Job, outcomes.Refused]]


class Scheduler:
    """Orders runs of waiting jobs, as far as pool and own link have room.

    :param name: this entry
    :param jobs: the jobs that are held
    :param pool: the agents
    :param runs: orders runs
    :param placing: chooses endpoints
    :param link: this entry's own
    :param rng: spreads the delays that refused clients are told
    :param ranking: the order of waiting jobs
    :param notes: what is decided
    """

    def __init__(
        self,
        name: str,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        runs: _run_tracker.RunTracker,
        placing: _placement.Placer,
        link: _uplink.Uplink,
        rng: random.Random,
        ranking: _job_ranking.JobRanking,
        notes: _entry_notes.EntryNotes,
    ) -> None:
        self._job_ranking = ranking
        self._notes = notes
        self._jobs = jobs
        self._pool = pool
        self._runs = runs
        self._placement = placing
        self._link = link
        self._pool_share = _pool_share.PoolShare(link)
        self._arrivals = _arrivals.Arrivals()
        self._urgency_reports = _urgency_reports.UrgencyReports(link)
        #: When agents are to hear how urgent the waiting jobs are.
        self._wanted_at = _NEVER
        #: When the own link has room for waiting orders.
        self._place_at = _NEVER
        self.admission = _admission.Admission(
            name, pool, self._pool_share, link, rng, ranking.rules
        )

    @property
    def due_at(self) -> float:
        """When to place or to tell agents at the latest."""
        return min(self._wanted_at, self._place_at)

    def note_arrival(self, now: float, job: _jobs.Job) -> None:
        """Take in that a job was admitted."""
        job_class = job.request.job_class
        job.is_scheduled_retry = self.admission.retry_schedule.claim(
            now, job.name
        )
        slack_s = job.start_by - now
        self._arrivals.note(
            now, job_class.name, job_class.service, job.work, slack_s
        )

    def forecast(
        self, now: float, job: _jobs.Job
    ) -> _forecast.Forecast | None:
        """Return what is expected of a job, whether it is held or offered.

        :param now: monotonic seconds
        :param job: the job
        :return: none while agents are likely to come back soon
        """
        if self._pool.may_recover(now):
            return None
        service = job.request.job_class.service
        start_interval_s = self._pool_share.start_interval_s
        key = self._job_ranking.key(now, job, start_interval_s)
        ahead = sum(
            one.waiting_work()
            for one in self._jobs.waiting
            if one is not job
            and one.request.job_class.service == service
            and self._job_ranking.key(now, one, start_interval_s) < key
        )
        return self._forecaster(now, service).forecast_on_time(
            job.demand, ahead
        )

    def review(self, now: float) -> Refusals:
        """Yield jobs that wait in vain, in the order of their turns.

        Each is to be answered before the next is asked for.

        :param now: monotonic seconds
        """
        undispatched = self._job_ranking.sort(
            now, self._jobs.undispatched, self._pool_share.start_interval_s
        )
        ahead = self._begun_work()
        pool_cores = self._pool.capacity_cores(now)
        self._pool_share.update(
            now, pool_cores, self._pool.sharing_entries(now)
        )
        patient = [job for job in undispatched if self._may_be_late(job)]
        for job in undispatched:
            if self._may_be_late(job):
                continue
            service = job.request.job_class.service
            work = ahead.get(service, 0.0)
            refusal = self.admission.review(now, job, work)
            if refusal is None:
                ahead[service] = work + job.work
            else:
                yield job, refusal
        for service in {job.request.job_class.service for job in patient}:
            yield from self._review_patient(
                now, service, patient, ahead.get(service, 0.0)
            )

    def _may_be_late(self, job: _jobs.Job) -> bool:
        return self._job_ranking.rules.late_answers and job.may_be_late

    def _review_patient(
        self,
        now: float,
        service: str,
        patient: list[_jobs.Job],
        ahead: float,
    ) -> Refusals:
        """Yield the jobs of a service whose answer would be of no use.

        :param now: monotonic seconds
        :param service: the service
        :param patient: jobs that may be late, of all services
        :param ahead: core-seconds that go before them
        """
        jobs = [
            job for job in patient if job.request.job_class.service == service
        ]
        jobs.sort(
            key=lambda job: self._job_ranking.virtual_deadline(
                job, self._pool_share.start_interval_s
            )
        )
        forecaster = self._forecaster(now, service)
        forecasts = _late_jobs.review(
            now,
            forecaster,
            [
                _late_jobs.Waiting(number, job.demand, job.is_scheduled_retry)
                for number, job in enumerate(jobs)
            ],
            ahead,
            self._job_ranking.rules.largest_late,
        )
        too_late: list[_jobs.Job] = []
        for number, job in enumerate(jobs):
            self._take_in(now, job, forecasts[number])
            if forecasts[number].prospect is _forecast.Prospect.TOO_LATE:
                too_late.append(job)
            else:
                ahead += job.work
        for job in too_late:
            refusal = self.admission.refuse_if_too_late(
                now, job, functools.partial(forecaster.queueing_delay, ahead)
            )
            if refusal is not None:
                yield job, refusal

    def _take_in(
        self, now: float, job: _jobs.Job, told: _forecast.Forecast
    ) -> None:
        """Keep what is forecast of a job, and count it where it goes."""
        was = job.is_deferred
        job.forecast = told
        moved = was - job.is_deferred
        if moved:
            self._arrivals.move(now, job.request.job_class.name, moved)
        if not was and told.prospect is _forecast.Prospect.LATE:
            self._notes.deferred(now, job, told)

    def _forecaster(self, now: float, service: str) -> _forecast.Forecaster:
        """Return what tells the prospects of a service's jobs."""
        inflow = self._arrivals.inflow(now, service)
        return _forecast.Forecaster(now, self._room(now, service), inflow)

    def _room(self, now: float, service: str) -> _forecast.AvailableCapacity:
        """Return the room that this entry's work can count on."""
        link_wait_s = self._link.wait_s(now)
        pool_cores = self._pool.capacity_cores(now, service)
        if not pool_cores:
            return _forecast.AvailableCapacity(0.0, link_wait_s=link_wait_s)
        sharing_entries = self._pool.sharing_entries(now, service)
        cores = self._pool_share.cores(now, pool_cores, sharing_entries)
        # What comes or goes is shared as the rest of the pool is.
        part = cores / pool_cores
        change = _forecast.CapacityChange
        goes = self._pool.leaving_cores(now, service)
        comes = self._pool.returning_cores(now, service)
        return _forecast.AvailableCapacity(
            cores,
            self._pool.free_cores(now, service),
            (
                *(change(in_s, -part * gone) for in_s, gone in goes),
                *(change(in_s, part * back) for in_s, back in comes),
            ),
            link_wait_s,
        )

    def _begun_work(self) -> dict[str, float]:
        """Return the core-seconds that begun jobs wait for, by service."""
        work: dict[str, float] = {}
        for job in self._jobs.waiting:
            if job.is_dispatched:
                service = job.request.job_class.service
                work[service] = work.get(service, 0.0) + job.waiting_work()
        return work

    def is_link_free(self, now: float) -> bool:
        """Return whether orders waited for the link, which is free now."""
        return now >= self._place_at

    def place(self, now: float) -> None:
        """Order what has room."""
        waiting = self._jobs.waiting
        self._order_all(now, waiting)
        left = [job for job in waiting if job.waiting]
        self._place_at = _NEVER
        if left and not self._link.is_free(now):
            # They wait for the link, not for room: agents need no word.
            self._place_at = self._link.free_at(now)
            return
        if self._job_ranking.rules.urgency_reports:
            virtual_deadline = self._job_ranking.earliest_deadline(
                now, left, self._pool_share.start_interval_s
            )
            self._wanted_at = self._urgency_reports.due_at(virtual_deadline)

    def _order_all(self, now: float, waiting: list[_jobs.Job]) -> None:
        """Order what has room, as far as the own link carries it.

        What waits there for longer than a grant lasts is turned down and
        repeated: without the bound 30 of 676 jobs were complete in a
        simulation of 1.4 times what the link carries.
        """
        if not self._link.is_free(now):
            return
        start_interval_s = self._pool_share.start_interval_s
        for placed in self._placement.place(now, waiting, start_interval_s):
            size = self._runs.order(now, placed.job, placed.row, placed.tasks)
            count = len(placed.tasks)
            self._pool_share.note_started(now, placed.work, count, size)
            if not self._link.is_free(now):
                return

    def due_urgency_reports(
        self, now: float
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.RoomWanted]]:
        """Yield agents to tell how urgent the waiting jobs are, and how."""
        if now < self._wanted_at:
            return
        self._wanted_at = _NEVER
        waiting = self._jobs.waiting
        virtual_deadline = self._job_ranking.earliest_deadline(
            now, waiting, self._pool_share.start_interval_s
        )
        yield from self._urgency_reports.tell(
            now, virtual_deadline, self._pool
        )
