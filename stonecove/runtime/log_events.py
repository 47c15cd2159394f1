"""The events of the log. ONCALL.md describes each and how to respond to it."""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """The name of an event, which is the second word of its line."""

    # Router process
    ROUTER_READY = "router_ready"
    ROUTER_STOPPING = "router_stopping"
    ROUTER_STOPPED = "router_stopped"
    STATS = "stats"
    CONFIG_RELOADED = "config_reloaded"
    CONFIG_RELOAD_REJECTED = "config_reload_rejected"
    INTERNAL_ERROR = "internal_error"
    DESCRIPTORS_EXHAUSTED = "descriptors_exhausted"

    # Requests and routing
    REQUEST_MALFORMED = "request_malformed"
    REQUEST_UNDECIDED = "request_undecided"
    CLIENT_CONNECTION_ABORTED = "client_connection_aborted"
    ROUTING_NOTICE = "routing_notice"
    COPY_REJECTED = "copy_rejected"
    UPSTREAM_CONNECTION_CLOSED = "upstream_connection_closed"
    UPSTREAM_CONNECTION_LIMIT_REACHED = "upstream_connection_limit_reached"
    ENDPOINT_UPDATED = "endpoint_updated"

    # Change log
    CHANGE_LOG_CONNECTED = "change_log_connected"
    CHANGE_LOG_DISCONNECTED = "change_log_disconnected"
    CHANGE_LOG_ADDRESS_CHANGED = "change_log_address_changed"
    CHANGE_LOG_EVENT_SKIPPED = "change_log_event_skipped"

    # Frontends, access and tokens
    HTTP_LISTENING = "http_listening"
    HTTP_RELOADED = "http_reloaded"
    TLS_HANDSHAKE_FAILED = "tls_handshake_failed"
    CERTIFICATE_REJECTED = "certificate_rejected"
    TOKEN_REJECTED = "token_rejected"
    ACCESS_CONFIG_RELOADED = "access_config_reloaded"
    ACCESS_CONFIG_REJECTED = "access_config_rejected"

    # Endpoint discovery
    COORDINATION_CONNECTED = "coordination_connected"
    COORDINATION_DISCONNECTED = "coordination_disconnected"
    COORDINATION_SESSION_EXPIRED = "coordination_session_expired"
    COORDINATION_PATH_CHANGED = "coordination_path_changed"
    ENDPOINT_RECORD_INVALID = "endpoint_record_invalid"
    ENDPOINT_PATH_MISSING = "endpoint_path_missing"
    ENDPOINT_RETURNED = "endpoint_returned"
    ENDPOINT_FLAPPING = "endpoint_flapping"
    ENDPOINT_ID_DUPLICATED = "endpoint_id_duplicated"
    ENDPOINT_ADDRESS_DUPLICATED = "endpoint_address_duplicated"
    ENDPOINT_LIST_DELAYED = "endpoint_list_delayed"
    ENDPOINT_SOURCE_STALE = "endpoint_source_stale"
    ENDPOINT_SOURCES_AVAILABLE = "endpoint_sources_available"
    ENDPOINT_SOURCES_UNAVAILABLE = "endpoint_sources_unavailable"
    MASS_DEPARTURE_SUSPECTED = "mass_departure_suspected"
    MASS_DEPARTURE_CONFIRMED = "mass_departure_confirmed"
    MEMBERS_SOCKET_FAILED = "members_socket_failed"
    OPERATOR_CONFIG_RELOADED = "operator_config_reloaded"
    OPERATOR_CONFIG_REJECTED = "operator_config_rejected"

    # Presence and fleet size
    PRESENCE_WITHDRAWN = "presence_withdrawn"
    PRESENCE_WRITE_REJECTED = "presence_write_rejected"
    PRESENCE_NAME_CONFLICT = "presence_name_conflict"
    PRESENCE_RECORD_INVALID = "presence_record_invalid"
    FLEET_SIZE_CHANGED = "fleet_size_changed"

    # Membership among routers
    GOSSIP_MEMBER_CHANGED = "gossip_member_changed"
    GOSSIP_VIEW_CHANGED = "gossip_view_changed"
    GOSSIP_SHARE_CHANGED = "gossip_share_changed"
    GOSSIP_SUSPECTED = "gossip_suspected"
    GOSSIP_REFUTED = "gossip_refuted"
    GOSSIP_GENERATION_RAISED = "gossip_generation_raised"
    GOSSIP_STOPPED = "gossip_stopped"
    GOSSIP_NAME_CONFLICT = "gossip_name_conflict"
    GOSSIP_SOCKET_FAILED = "gossip_socket_failed"

    # Settings roll-outs
    SETTINGS_LOADED = "settings_loaded"
    SETTINGS_APPLIED = "settings_applied"
    SETTINGS_REJECTED = "settings_rejected"
    SETTINGS_TARGET_INVALID = "settings_target_invalid"
    SETTINGS_TARGET_UNREADABLE = "settings_target_unreadable"
    SETTINGS_OVERLAY_UNREADABLE = "settings_overlay_unreadable"

    # Leases
    LESSOR_CONNECTED = "lessor_connected"
    LESSOR_DISCONNECTED = "lessor_disconnected"
    LEASE_MESSAGES_DROPPED = "lease_messages_dropped"
    LEASE_MESSAGE_MALFORMED = "lease_message_malformed"
    LEASE_HOLDER_DISCONNECTED = "lease_holder_disconnected"

    # Supervisor of a host
    SUPERVISOR_STARTED = "supervisor_started"
    SUPERVISOR_STOPPED = "supervisor_stopped"
    FLEET_READY = "fleet_ready"
    FLEET_RELOADED = "fleet_reloaded"
    FLEET_RELOAD_REJECTED = "fleet_reload_rejected"
    FLEET_SIZE_TOO_SMALL = "fleet_size_too_small"
    INSTANCE_STARTED = "instance_started"
    INSTANCE_START_FAILED = "instance_start_failed"
    INSTANCE_READY = "instance_ready"
    INSTANCE_ADOPTED = "instance_adopted"
    INSTANCE_PROCESS_UNKNOWN = "instance_process_unknown"
    INSTANCE_EXITED = "instance_exited"
    INSTANCE_KILLED = "instance_killed"
    INSTANCE_SUSPENDED = "instance_suspended"
    INSTANCE_LIMIT_EXCEEDED = "instance_limit_exceeded"
    ROLLING_RESTART_STARTED = "rolling_restart_started"
    ROLLING_RESTART_RESUMED = "rolling_restart_resumed"
    ROLLING_RESTART_STOPPED = "rolling_restart_stopped"
    ROLLING_RESTART_FINISHED = "rolling_restart_finished"
    JOURNAL_TRUNCATED = "journal_truncated"
    JOURNAL_WRITE_FAILED = "journal_write_failed"
    JOURNAL_WRITE_RECOVERED = "journal_write_recovered"
