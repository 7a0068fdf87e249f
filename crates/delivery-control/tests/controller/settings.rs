//! Validation of settings.

use delivery_control::{Controller, Idempotency, Limits, MessageClass, Settings, SettingsError};

use crate::support::{message_class, settings};

/// Guards against settings that a controller cannot work with, such as a negative deadline: each must be
/// refused with a typed error that says what is wrong.
#[test]
fn invalid_settings_are_typed_errors() {
    let without_classes = Settings { classes: Vec::new(), ..settings() };
    assert_eq!(Controller::new(without_classes, 1).err(), Some(SettingsError::NoClasses));
    let class = MessageClass { deadline: -1, ..message_class(Idempotency::Always) };
    let negative_deadline = Settings { classes: vec![class], ..settings() };
    assert_eq!(Controller::new(negative_deadline, 1).err(), Some(SettingsError::Negative("deadlineMs")));
    let without_calls = Settings { limits: Limits { max_in_flight: 0, ..settings().limits }, ..settings() };
    assert_eq!(Controller::new(without_calls, 1).err(), Some(SettingsError::OutOfRange("maxCalls")));
    assert_eq!("odd".parse::<Idempotency>(), Err(SettingsError::UnknownEffect("odd".to_owned())));
}
